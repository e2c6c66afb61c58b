//! Errors of queries that are rejected before any server is queried. Clients read the messages in
//! the problem's detail.

use super::super::cql2::FilterError;
use thiserror::Error;

/// A query for features is malformed or can't be served.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A parameter is given twice.
    #[error("{0} is given twice")]
    DuplicateParameter(String),
    /// There is no such parameter and no such queryable.
    #[error("unknown parameter {0:?}")]
    UnknownParameter(String),
    /// The value of a queryable has another type.
    #[error("{name}: {value:?} is of another kind")]
    ValueType {
        /// The queryable's name.
        name: String,
        /// The value.
        value: String,
    },
    /// A limit is not a positive number.
    #[error("limit is no number from 1 on")]
    Limit,
    /// A coordinate reference system is unknown.
    #[error("{name}: {value:?} is not served")]
    UnsupportedCrs {
        /// The parameter's name.
        name: String,
        /// The identifier.
        value: String,
    },
    /// A coordinate reference system can't be set up.
    #[error("{0}: it cannot be used")]
    UnusableCrs(&'static str),
    /// A box contains something other than numbers.
    #[error("bbox: numbers are needed")]
    BboxNumbers,
    /// A box has a wrong count of numbers, or infinite ones.
    #[error("bbox: four or six numbers are needed")]
    BboxCount,
    /// A box lies outside of where its system is defined.
    #[error("bbox: it lies where bbox-crs is not defined")]
    BboxUndefined,
    /// A box has its corners in the wrong order or off the globe.
    #[error("bbox: its corners are no box on the globe")]
    BboxCorners,
    /// A time is malformed.
    #[error("datetime: {0:?} is no RFC 3339 time")]
    Datetime(String),
    /// An interval is open at both ends.
    #[error("datetime: an interval needs an end")]
    IntervalOpen,
    /// An interval has its ends in the wrong order.
    #[error("datetime: the interval ends before it begins")]
    IntervalOrder,
    /// A filter's language is named without a filter.
    #[error("filter-lang without filter")]
    FilterLanguageWithoutFilter,
    /// A filter's language is unknown; its name is quoted.
    #[error("filter-lang {0} is not served")]
    UnsupportedFilterLanguage(String),
    /// A filter is malformed or doesn't fit the queryables.
    #[error("filter: {0}")]
    Filter(#[from] FilterError),
    /// A point of a filter lies outside of where its system is defined.
    #[error("filter: a point lies where filter-crs is not defined")]
    FilterUndefined,
    /// A point of a filter lies off the globe.
    #[error("filter: a point lies outside longitude and latitude")]
    FilterOffGlobe,
    /// A selection of properties is malformed or too long.
    #[error("properties: names apart by commas are needed")]
    Properties,
    /// Sort keys in JSON are malformed.
    #[error("sortby: a list of field and direction is needed")]
    SortList,
    /// There is no sort key, or there are too many.
    #[error("sortby: 1 to {max} properties are needed")]
    SortCount {
        /// Largest number of sort keys.
        max: usize,
    },
    /// There is no such sortable.
    #[error("sortby: {0:?} is no sortable")]
    UnknownSortable(String),
    /// A sort key is given twice.
    #[error("sortby: {0:?} is there twice")]
    DuplicateSortKey(String),
    /// The body of a search is not JSON.
    #[error("the body: {0}")]
    Body(#[source] serde_json::Error),
    /// The body of a search is JSON, but not an object.
    #[error("the body is no JSON object")]
    BodyObject,
    /// A member of a search is unknown.
    #[error("unknown member {0:?}")]
    UnknownMember(String),
    /// A member of a search is not text.
    #[error("{0}: text is needed")]
    MemberText(String),
    /// A search names no list of collections.
    #[error("collections: a list of one is needed")]
    CollectionsList,
    /// A search names none or several collections.
    #[error("collections: one, and no more, can be searched at a time")]
    CollectionsCount,
    /// There is no such collection.
    #[error("there is no collection {0:?}")]
    UnknownCollection(String),
    /// The parameter `f` names an unknown format.
    #[error("f={0:?} is not served: json or html is")]
    UnsupportedFormat(String),
    /// The client accepts none of the formats.
    #[error("Accept: application/geo+json, application/json and text/html are served")]
    NotAcceptable,
}

impl RequestError {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            RequestError::NotAcceptable => 406,
            _ => 400,
        }
    }
}
