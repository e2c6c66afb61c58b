//! Parameters of a query for features.
//!
//! This module checks them, so that feature servers receive well-formed queries only, and
//! transforms all coordinates of the conditions to CRS84.

mod bbox;
mod error;
mod filter;
mod format;
mod items;
mod query_parameter;
mod search;
mod sorting;
mod values;

pub use error::RequestError;
pub use format::{negotiate_format, Format};
pub use items::parse_items_query;
pub use query_parameter::{decode_query, QueryParameter};
pub use search::{parse_search, parse_search_body, search_collection, Search};

use super::cql2::{Filter, Queryables};
use super::crs::Crs;
use super::paging::{BoundSortKeys, SortKey};

/// The checked parameters of a query for features.
#[derive(Debug, Clone, PartialEq)]
pub struct Params {
    /// Maximum number of features in the response.
    pub limit: usize,
    /// Cursor of a `next` link, at which this response begins.
    pub cursor: Option<String>,
    /// Bounding box in CRS84: four numbers, or six with heights.
    pub bbox: Option<Vec<f64>>,
    /// Time or interval, as the client wrote it.
    pub datetime: Option<String>,
    /// Condition that features must meet.
    pub filter: Option<Filter>,
    /// Coordinate reference system of the response.
    pub crs: Crs,
    /// Sort keys; if there are none, features are returned in any order.
    pub sortby: Vec<SortKey>,
    /// Names of the properties that are returned; `None` for all.
    pub properties: Option<Vec<String>>,
}

/// Default and maximum of the parameter `limit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRules {
    /// Maximum number of features in a response whose query has no `limit`.
    pub default_limit: usize,
    /// Maximum number of features in any response; a larger `limit` is reduced to it.
    pub max_limit: usize,
}

/// Rules that the parameters of a query are checked against.
#[derive(Debug, Clone)]
pub struct ParameterRules<'a> {
    /// Default and maximum of the parameter `limit`.
    pub limits: LimitRules,
    /// Queryables of the collection.
    pub queryables: &'a Queryables,
}

impl Params {
    /// Returns the parameters of a query without any condition.
    fn unconditional(limits: LimitRules) -> Self {
        Params {
            limit: limits.default_limit.min(limits.max_limit),
            cursor: None,
            bbox: None,
            datetime: None,
            filter: None,
            crs: Crs::Crs84,
            sortby: Vec::new(),
            properties: None,
        }
    }

    /// Returns the text that binds a cursor to its query: everything that determines the features
    /// of the responses, their representation and their order.
    ///
    /// The cursors that clients hold contain a hash of this text, so it must not change between
    /// releases.
    #[must_use]
    pub fn cursor_binding(&self) -> String {
        format!(
            "{:?} {:?} {:?} {} {:?} {:?}",
            self.bbox,
            self.datetime,
            self.filter.as_ref().map(Filter::to_string),
            self.crs.binding_name(),
            BoundSortKeys(&self.sortby),
            self.properties
        )
    }

    /// Returns the bounding box as the value of the parameter `bbox` of a feature server.
    #[must_use]
    pub fn bbox_text(&self) -> Option<String> {
        let bbox = self.bbox.as_ref()?;
        Some(
            bbox.iter()
                .map(f64::to_string)
                .collect::<Vec<_>>()
                .join(","),
        )
    }
}

#[cfg(test)]
mod tests;
