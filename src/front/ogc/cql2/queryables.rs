//! The queryables of a collection: the names that a filter may use, and their types (OGC API -
//! Features, Part 3).

use super::{filter_error, FilterError};
use serde_json::{json, Map, Value as Json};
use std::collections::BTreeMap;

/// The type of a queryable's values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryableType {
    /// Text.
    Text,
    /// A number, integer or not.
    Number,
    /// True or false.
    Bool,
    /// A date or an instant.
    Time,
    /// A geometry.
    Geometry,
    /// An array.
    Array,
    /// The type is not declared or not the same at all servers; the values may have any type.
    Any,
}

impl QueryableType {
    /// Returns the type that a property's JSON schema declares.
    fn from_schema(schema: &Json) -> Self {
        let format = schema["format"].as_str().unwrap_or_default();
        let refers_to_geojson = schema
            .get("$ref")
            .is_some_and(|reference| reference.to_string().contains("geojson"));
        if format.starts_with("geometry-") || refers_to_geojson {
            return QueryableType::Geometry;
        }
        match (schema["type"].as_str(), format) {
            (Some("string"), "date" | "date-time") => QueryableType::Time,
            (Some("string"), _) => QueryableType::Text,
            (Some("number" | "integer"), _) => QueryableType::Number,
            (Some("boolean"), _) => QueryableType::Bool,
            (Some("array"), _) => QueryableType::Array,
            _ => QueryableType::Any,
        }
    }

    fn to_schema(self) -> Json {
        match self {
            QueryableType::Text => json!({"type": "string"}),
            QueryableType::Number => json!({"type": "number"}),
            QueryableType::Bool => json!({"type": "boolean"}),
            QueryableType::Time => json!({"type": "string", "format": "date-time"}),
            QueryableType::Geometry => json!({"format": "geometry-any"}),
            QueryableType::Array => json!({"type": "array"}),
            QueryableType::Any => json!({}),
        }
    }
}

/// Names that filters on a collection may use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queryables {
    /// The declared queryables by name.
    pub named: BTreeMap<String, QueryableType>,
    /// Whether filters may also use names that are not declared; their types are unknown.
    pub open: bool,
}

impl Queryables {
    /// Returns the queryables of a collection that declares none: any name may be used.
    #[must_use]
    pub fn unknown() -> Self {
        Queryables {
            named: BTreeMap::new(),
            open: true,
        }
    }

    /// Parses the JSON schema by which a server declares its queryables. Returns `None` if the
    /// schema has no `properties`.
    #[must_use]
    pub fn from_schema(schema: &Json) -> Option<Self> {
        let properties = schema["properties"].as_object()?;
        let typed =
            |(name, schema): (&String, &Json)| (name.clone(), QueryableType::from_schema(schema));
        let named = properties.iter().map(typed).collect();
        Some(Queryables {
            named,
            open: schema["additionalProperties"].as_bool() == Some(true),
        })
    }

    /// Writes the queryables as a JSON schema.
    #[must_use]
    pub fn to_schema(&self) -> Json {
        let properties: Map<String, Json> = self
            .named
            .iter()
            .map(|(name, queryable_type)| (name.clone(), queryable_type.to_schema()))
            .collect();
        json!({"type": "object", "properties": properties, "additionalProperties": self.open})
    }

    /// Returns the queryables that both have. A queryable whose types differ has the type
    /// [`QueryableType::Any`].
    #[must_use]
    pub fn intersection(&self, other: &Queryables) -> Self {
        let common_type = |name: &String, queryable_type: QueryableType| match other.named.get(name)
        {
            Some(theirs) if *theirs == queryable_type => Some(queryable_type),
            Some(_) => Some(QueryableType::Any),
            None => other.open.then_some(queryable_type),
        };
        let ours = self.named.iter().filter_map(|(name, queryable_type)| {
            Some((name.clone(), common_type(name, *queryable_type)?))
        });
        let theirs = other
            .named
            .iter()
            .filter(|(name, _)| self.open && !self.named.contains_key(*name));
        let named = ours
            .chain(theirs.map(|(name, queryable_type)| (name.clone(), *queryable_type)))
            .collect();
        Queryables {
            named,
            open: self.open && other.open,
        }
    }

    /// Returns the queryables that either has. A queryable whose types differ has the type
    /// [`QueryableType::Any`].
    #[must_use]
    pub fn union(mut self, other: &Queryables) -> Self {
        for (name, theirs) in &other.named {
            let queryable_type = self.named.entry(name.clone()).or_insert(*theirs);
            if queryable_type != theirs {
                *queryable_type = QueryableType::Any;
            }
        }
        self.open |= other.open;
        self
    }

    /// Returns the type of a queryable, or an error if filters may not use the name.
    pub(super) fn type_of(&self, name: &str) -> Result<QueryableType, FilterError> {
        match self.named.get(name) {
            Some(queryable_type) => Ok(*queryable_type),
            None if self.open => Ok(QueryableType::Any),
            None => filter_error(format!("there is no queryable {name:?}")),
        }
    }
}
