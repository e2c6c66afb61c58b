//! Errors of queries that are rejected before a request is sent to any server. The messages are the
//! `detail` of the problem documents that clients receive.

use super::super::cql2::FilterError;
use thiserror::Error;

/// Error of a query for features that is malformed or can't be served.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A parameter is given twice.
    #[error("{0} is given twice")]
    DuplicateParameter(String),
    /// A name is neither a parameter nor a queryable.
    #[error("unknown parameter {0:?}")]
    UnknownParameter(String),
    /// A value is not of the queryable's type.
    #[error("{name}: {value:?} is of another kind")]
    WrongValueType {
        /// The queryable's name.
        name: String,
        /// The value that was given.
        value: String,
    },
    /// The limit is not a positive integer.
    #[error("limit is no number from 1 on")]
    InvalidLimit,
    /// A coordinate reference system is unknown.
    #[error("{name}: {value:?} is not served")]
    UnsupportedCrs {
        /// The parameter's name.
        name: String,
        /// The identifier that was given.
        value: String,
    },
    /// The transformation from a coordinate reference system can't be created.
    #[error("{0}: it cannot be used")]
    UnavailableCrs(&'static str),
    /// An element of the bounding box is not a number.
    #[error("bbox: numbers are needed")]
    BboxNotNumeric,
    /// The bounding box does not consist of four or six finite numbers.
    #[error("bbox: four or six numbers are needed")]
    InvalidBboxLength,
    /// The bounding box lies outside the area in which its coordinate reference system is defined.
    #[error("bbox: it lies where bbox-crs is not defined")]
    BboxOutsideCrs,
    /// The corners of the bounding box are in the wrong order or have invalid coordinates.
    #[error("bbox: its corners are no box on the globe")]
    InvalidBboxCorners,
    /// A time is not in the format of RFC 3339.
    #[error("datetime: {0:?} is no RFC 3339 time")]
    InvalidDatetime(String),
    /// An interval is unbounded at both ends.
    #[error("datetime: an interval needs an end")]
    UnboundedInterval,
    /// An interval ends before it begins.
    #[error("datetime: the interval ends before it begins")]
    ReversedInterval,
    /// A filter language is given without a filter.
    #[error("filter-lang without filter")]
    FilterLanguageWithoutFilter,
    /// The filter language is unknown. The field contains its name in quotation marks.
    #[error("filter-lang {0} is not served")]
    UnsupportedFilterLanguage(String),
    /// The filter is malformed or doesn't match the queryables.
    #[error("filter: {0}")]
    Filter(#[from] FilterError),
    /// A point of the filter lies outside the area in which its coordinate reference system is
    /// defined.
    #[error("filter: a point lies where filter-crs is not defined")]
    FilterOutsideCrs,
    /// A point of the filter has an invalid longitude or latitude.
    #[error("filter: a point lies outside longitude and latitude")]
    FilterOutOfRange,
    /// The list of properties has an empty name or too many names.
    #[error("properties: names apart by commas are needed")]
    InvalidProperties,
    /// The sort keys in the body of a search are malformed.
    #[error("sortby: a list of field and direction is needed")]
    MalformedSortKeys,
    /// There is no sort key, or there are too many sort keys.
    #[error("sortby: 1 to {max} properties are needed")]
    InvalidSortKeyCount {
        /// Maximum number of sort keys.
        max: usize,
    },
    /// Features can't be sorted by a property.
    #[error("sortby: {0:?} is no sortable")]
    UnknownSortable(String),
    /// A sort key is given twice.
    #[error("sortby: {0:?} is there twice")]
    DuplicateSortKey(String),
    /// The body of a search is not JSON.
    #[error("the body: {0}")]
    MalformedBody(#[source] serde_json::Error),
    /// The body of a search is JSON, but not an object.
    #[error("the body is no JSON object")]
    BodyNotObject,
    /// A member of a search is unknown.
    #[error("unknown member {0:?}")]
    UnknownMember(String),
    /// A member of a search is not a string.
    #[error("{0}: text is needed")]
    MemberNotText(String),
    /// The member `collections` of a search is not a list.
    #[error("collections: a list of one is needed")]
    CollectionsNotList,
    /// The member `collections` of a search is not exactly one name.
    #[error("collections: one, and no more, can be searched at a time")]
    InvalidCollectionCount,
    /// There is no such collection.
    #[error("there is no collection {0:?}")]
    UnknownCollection(String),
    /// The parameter `f` is an unknown format.
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
