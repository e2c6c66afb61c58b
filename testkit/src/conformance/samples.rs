//! Sample values from the features of the service, from which checks build their queries.

use super::check::EarlyExit;
use super::Suite;
use serde_json::Value as Json;

/// Minimum number of points for a sample box.
const MIN_POINTS: usize = 10;

/// Point in longitude and latitude, or in the axis order of another reference system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Point {
    pub(super) x: f64,
    pub(super) y: f64,
}

/// Returns the location of a feature whose geometry is a point.
pub(super) fn point_of(feature: &Json) -> Option<Point> {
    let coordinates = &feature["geometry"]["coordinates"];
    Some(Point {
        x: coordinates[0].as_f64()?,
        y: coordinates[1].as_f64()?,
    })
}

/// Closed bounding box of longitudes and latitudes.
#[derive(Debug, Clone, Copy)]
pub(super) struct BoundingBox {
    pub(super) west: f64,
    pub(super) south: f64,
    pub(super) east: f64,
    pub(super) north: f64,
}

impl BoundingBox {
    /// Returns whether a feature is a point inside the box or on its boundary.
    pub(super) fn contains(&self, feature: &Json) -> bool {
        point_of(feature).is_some_and(|Point { x, y }| {
            self.west <= x && x <= self.east && self.south <= y && y <= self.north
        })
    }

    /// Returns whether a feature is a point inside the box and not on its boundary.
    pub(super) fn contains_strictly(&self, feature: &Json) -> bool {
        point_of(feature).is_some_and(|Point { x, y }| {
            self.west < x && x < self.east && self.south < y && y < self.north
        })
    }

    /// Returns whether a feature is a point on or below the diagonal from the upper left to the
    /// lower right corner.
    pub(super) fn lower_left_half_contains(&self, feature: &Json) -> bool {
        let BoundingBox {
            west,
            south,
            east,
            north,
        } = *self;
        point_of(feature).is_some_and(|Point { x, y }| {
            x >= west
                && y >= south
                && (x - west) / (east - west) + (y - south) / (north - south) <= 1.0
        })
    }

    /// Formats the box as `west,south,east,north`.
    pub(super) fn to_query(self) -> String {
        let BoundingBox {
            west,
            south,
            east,
            north,
        } = self;
        format!("{west},{south},{east},{north}")
    }

    /// Formats the box as a polygon in well-known text.
    pub(super) fn to_polygon(self) -> String {
        let BoundingBox {
            west,
            south,
            east,
            north,
        } = self;
        format!(
            "POLYGON(({west} {south},{east} {south},{east} {north},{west} {north},{west} {south}))"
        )
    }
}

/// Kind of a queryable, by the type and format of its schema.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryableKind {
    /// Array of any elements.
    Array,
    /// Boolean.
    Boolean,
    /// Number.
    Number,
    /// Date, or date and time.
    Time,
}

impl QueryableKind {
    /// Returns the `type` of the schema.
    fn value_type(self) -> &'static str {
        match self {
            QueryableKind::Array => "array",
            QueryableKind::Boolean => "boolean",
            QueryableKind::Number => "number",
            QueryableKind::Time => "string",
        }
    }

    /// Returns the prefix of the `format` of the schema; empty for a schema without a format.
    fn format_prefix(self) -> &'static str {
        match self {
            QueryableKind::Array | QueryableKind::Boolean | QueryableKind::Number => "",
            QueryableKind::Time => "date",
        }
    }
}

/// Name of a queryable and a value to compare it with.
pub(super) struct Sample<T> {
    pub(super) name: String,
    pub(super) value: T,
}

/// Returns the value of a numeric property of a feature.
pub(super) fn number_of(feature: &Json, name: &str) -> Option<f64> {
    feature["properties"][name].as_f64()
}

/// Returns the value of a text property of a feature.
pub(super) fn text_of<'f>(feature: &'f Json, name: &str) -> Option<&'f str> {
    feature["properties"][name].as_str()
}

impl Suite {
    /// Returns a box in the middle of all points that contains about a quarter of them.
    pub(super) fn middle_box(&self) -> Result<BoundingBox, EarlyExit> {
        let points: Vec<Point> = self.features.iter().filter_map(point_of).collect();
        if points.len() < MIN_POINTS {
            return Err(EarlyExit::not_applicable("too few points"));
        }
        let quartiles = |coordinate: fn(&Point) -> f64| {
            let mut all: Vec<f64> = points.iter().map(coordinate).collect();
            all.sort_by(f64::total_cmp);
            [all[all.len() / 4], all[all.len() * 3 / 4]]
        };
        let [west, east] = quartiles(|point| point.x);
        let [south, north] = quartiles(|point| point.y);
        Ok(BoundingBox {
            west,
            south,
            east,
            north,
        })
    }

    /// Returns the first feature.
    pub(super) fn first_feature(&self) -> Result<&Json, EarlyExit> {
        self.features
            .first()
            .ok_or_else(|| EarlyExit::not_applicable("the collection has no features"))
    }

    /// Returns the feature in the middle of the list.
    pub(super) fn middle_feature(&self) -> Result<&Json, EarlyExit> {
        self.features
            .get(self.features.len() / 2)
            .ok_or_else(|| EarlyExit::not_applicable("the collection has no features"))
    }

    /// Returns the location of the first feature that is a point.
    pub(super) fn first_point(&self) -> Option<Point> {
        self.features.iter().find_map(point_of)
    }

    /// Returns the name of a queryable of this kind for which some feature has a value.
    pub(super) fn queryable(&self, kind: QueryableKind) -> Result<String, EarlyExit> {
        let value_type = kind.value_type();
        let format = kind.format_prefix();
        let fits = |(name, schema): &(&String, &Json)| {
            let schema_type = schema["type"].as_str().unwrap_or_default();
            let schema_format = schema["format"].as_str().unwrap_or_default();
            let has_values = || {
                self.features
                    .iter()
                    .any(|feature| !feature["properties"][name.as_str()].is_null())
            };
            schema_type == value_type
                && schema_format.starts_with(format)
                && format.is_empty() == schema_format.is_empty()
                && has_values()
        };
        let found = self.queryables.iter().find(fits);
        found.map(|(name, _)| name.clone()).ok_or_else(|| {
            EarlyExit::NotApplicable(format!("no queryable of type {value_type} {format}"))
        })
    }

    /// Returns the values of a numeric property of all features in ascending order.
    pub(super) fn sorted_numbers(&self, name: &str) -> Result<Vec<f64>, EarlyExit> {
        let mut numbers: Vec<f64> = self
            .features
            .iter()
            .filter_map(|feature| number_of(feature, name))
            .collect();
        numbers.sort_by(f64::total_cmp);
        if numbers.is_empty() {
            return Err(EarlyExit::not_applicable("no feature has a number"));
        }
        Ok(numbers)
    }

    /// Returns a numeric queryable and its median.
    pub(super) fn median_number(&self) -> Result<Sample<f64>, EarlyExit> {
        let name = self.queryable(QueryableKind::Number)?;
        let numbers = self.sorted_numbers(&name)?;
        Ok(Sample {
            name,
            value: numbers[numbers.len() / 2],
        })
    }

    /// Returns the name of the geometry queryable.
    pub(super) fn geometry_queryable(&self) -> Result<String, EarlyExit> {
        let is_geometry = |schema: &Json| {
            schema["format"]
                .as_str()
                .is_some_and(|format| format.starts_with("geometry-"))
        };
        let found = self
            .queryables
            .iter()
            .find(|(_, schema)| is_geometry(schema));
        found
            .map(|(name, _)| name.clone())
            .ok_or_else(|| EarlyExit::not_applicable("no geometry queryable is declared"))
    }

    /// Returns a text queryable that all features have, and the value of the middle feature.
    pub(super) fn text_sample(&self) -> Result<Sample<String>, EarlyExit> {
        let fits = |(name, schema): &(&String, &Json)| {
            schema["type"] == "string"
                && schema.get("format").is_none()
                && self
                    .features
                    .iter()
                    .all(|feature| text_of(feature, name).is_some())
        };
        let found = self.queryables.iter().find(fits);
        let name = found.map(|(name, _)| name.clone());
        let name =
            name.ok_or_else(|| EarlyExit::not_applicable("no text that all features have"))?;
        let middle = &self.features[self.features.len() / 2];
        let value = text_of(middle, &name).unwrap_or_default().to_owned();
        Ok(Sample { name, value })
    }

    /// Returns a date or time queryable and its median.
    pub(super) fn median_time(&self) -> Result<Sample<String>, EarlyExit> {
        let name = self.queryable(QueryableKind::Time)?;
        let mut times: Vec<&str> = self
            .features
            .iter()
            .filter_map(|feature| text_of(feature, &name))
            .collect();
        times.sort_unstable();
        let value = times[times.len() / 2].to_owned();
        Ok(Sample { name, value })
    }

    /// Returns the name of a text queryable that some features have and others lack.
    pub(super) fn nullable_text_queryable(&self) -> Result<String, EarlyExit> {
        let null_count = |name: &str| {
            self.features
                .iter()
                .filter(|feature| feature["properties"][name].is_null())
                .count()
        };
        let is_nullable =
            |name: &str| name != "id" && (1..self.features.len()).contains(&null_count(name));
        let found = self.queryables.iter().find(|(name, _)| is_nullable(name));
        let text = found.filter(|(_, schema)| schema["type"] == "string");
        text.map(|(name, _)| name.clone())
            .ok_or_else(|| EarlyExit::not_applicable("no text that some features lack"))
    }
}
