//! Decoding of the parameters of a query string.

/// A decoded parameter of a query string.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueryParameter {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// Returns the decoded parameters of a query string, in order.
#[must_use]
pub fn decode_query(query: &str) -> Vec<QueryParameter> {
    let parameter = |(name, value): (_, _)| QueryParameter { name, value };
    url::form_urlencoded::parse(query.as_bytes())
        .into_owned()
        .map(parameter)
        .collect()
}
