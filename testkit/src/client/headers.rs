//! Headers of requests and responses as typed values.

use std::collections::BTreeMap;

/// Header of a request or response.
#[derive(Debug, Clone, Copy)]
pub struct Header<'a> {
    /// Name of the header.
    pub name: &'a str,
    /// Value of the header.
    pub value: &'a str,
}

impl<'a> Header<'a> {
    /// Creates a header.
    #[must_use]
    pub const fn new(name: &'a str, value: &'a str) -> Self {
        Header { name, value }
    }
}

/// Headers of a response by lower-case name. Of headers with the same name, the last one is kept.
#[derive(Debug, Clone, Default)]
pub struct Headers {
    values: BTreeMap<String, String>,
}

impl Headers {
    /// Returns the value of a header by its lower-case name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Sets the value of a header; its name is converted to lower case.
    pub fn set(&mut self, header: Header<'_>) {
        self.values
            .insert(header.name.to_ascii_lowercase(), header.value.to_owned());
    }

    /// Returns the headers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = Header<'_>> {
        self.values
            .iter()
            .map(|(name, value)| Header::new(name, value))
    }
}
