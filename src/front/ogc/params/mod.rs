//! Parameters of a query for features.
//!
//! This module checks them, so that servers receive well-formed queries only. Beyond it, all
//! coordinates are in CRS84.

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

/// Checked query for features.
#[derive(Debug, Clone, PartialEq)]
pub struct Params {
    /// Most features of an answer.
    pub limit: usize,
    /// Cursor of a `next` link, at which this page begins.
    pub cursor: Option<String>,
    /// Box in CRS84: four numbers, or six with heights.
    pub bbox: Option<Vec<f64>>,
    /// Time or interval, as the client wrote it.
    pub datetime: Option<String>,
    /// Condition that features must meet.
    pub filter: Option<Filter>,
    /// Coordinate reference system of the answer.
    pub crs: Crs,
    /// Sort keys; if empty, any order.
    pub sortby: Vec<SortKey>,
    /// Properties of the answer's features; `None` for all.
    pub properties: Option<Vec<String>>,
}

/// Limits on a query's `limit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRules {
    /// Number of features in an answer when its query names no limit.
    pub default_limit: usize,
    /// Most features in an answer.
    pub max_limit: usize,
}

/// Rules that the parameters of a query are checked against.
#[derive(Debug, Clone)]
pub struct ParameterRules<'a> {
    /// Limits on `limit`.
    pub limits: LimitRules,
    /// Queryables of the collection.
    pub queryables: &'a Queryables,
}

impl Params {
    /// Returns a query without any condition.
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
    /// of an answer, their form and their order.
    ///
    /// Cursors that clients hold contain its hash, so the text must not change between releases.
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

    /// Returns the box as the text of a server's parameter `bbox`.
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
