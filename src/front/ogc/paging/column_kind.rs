//! The kinds of values whose order is the same at a server as in a query.

use serde_json::Value as Json;

/// The type of the values of a column whose order is that of the query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColumnKind {
    /// Numbers.
    Number,
    /// Texts in the order of their code points.
    Text,
}

impl ColumnKind {
    /// Returns the kind of a value, or `None` if it is neither a number nor a text.
    pub(in crate::front::ogc) fn of(value: &Json) -> Option<Self> {
        match value {
            Json::Number(_) => Some(ColumnKind::Number),
            Json::String(_) => Some(ColumnKind::Text),
            _ => None,
        }
    }
}
