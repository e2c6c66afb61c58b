//! The parameters of a query for features, checked here so that servers are only asked what is well formed. Beyond this
//! module all coordinates are in CRS84.

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

/// A query for features.
#[derive(Debug, Clone, PartialEq)]
pub struct Params {
    /// Most features of an answer.
    pub limit: usize,
    /// Where this page begins, as a `next` link has it.
    pub cursor: Option<String>,
    /// A box in CRS84: four numbers, or six with heights.
    pub bbox: Option<Vec<f64>>,
    /// A time or an interval, as the client wrote it.
    pub datetime: Option<String>,
    /// The condition that features must meet.
    pub filter: Option<Filter>,
    /// The coordinate reference system of the answer.
    pub crs: Crs,
    /// The sort keys; empty: any order.
    pub sortby: Vec<SortKey>,
    /// The properties of the answer's features; `None`: all.
    pub properties: Option<Vec<String>>,
}

/// The bounds of a query's `limit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRules {
    /// Number of features in an answer when its query names no limit.
    pub default_limit: usize,
    /// Most features in an answer.
    pub max_limit: usize,
}

/// What the parameters of a query are checked against.
#[derive(Debug, Clone)]
pub struct ParameterRules<'a> {
    /// The bounds of `limit`.
    pub limits: LimitRules,
    /// The queryables of the collection.
    pub queryables: &'a Queryables,
}

impl Params {
    /// A query without any condition.
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

    /// The text that binds a cursor to its query: everything that decides which features there are, how they look and in
    /// which order. Its hash is in the cursors that clients hold, so the text must stay as it is.
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

    /// The box as servers are asked for it.
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
