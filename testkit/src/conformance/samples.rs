//! Values of the service's features that checks are made with.

use super::check::Stop;
use super::Suite;
use serde_json::Value as Json;

/// Points that a box in the middle of all needs at least.
const MIN_POINTS: usize = 10;

/// A point in longitude and latitude, or in the order of another reference system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Point {
    pub(super) x: f64,
    pub(super) y: f64,
}

/// The location of a feature whose geometry is a point.
pub(super) fn point_of(feature: &Json) -> Option<Point> {
    let coordinates = &feature["geometry"]["coordinates"];
    Some(Point { x: coordinates[0].as_f64()?, y: coordinates[1].as_f64()? })
}

/// A box of longitudes and latitudes, with its edges.
#[derive(Debug, Clone, Copy)]
pub(super) struct BoundingBox {
    pub(super) west: f64,
    pub(super) south: f64,
    pub(super) east: f64,
    pub(super) north: f64,
}

impl BoundingBox {
    /// Whether a feature is a point in it or on its edges.
    pub(super) fn contains(&self, feature: &Json) -> bool {
        point_of(feature).is_some_and(|Point { x, y }| {
            self.west <= x && x <= self.east && self.south <= y && y <= self.north
        })
    }

    /// Whether a feature is a point in it and not on its edges.
    pub(super) fn contains_strictly(&self, feature: &Json) -> bool {
        point_of(feature)
            .is_some_and(|Point { x, y }| self.west < x && x < self.east && self.south < y && y < self.north)
    }

    /// Whether a feature is a point below the line from the upper left corner to the lower right one, or on it.
    pub(super) fn lower_left_half_contains(&self, feature: &Json) -> bool {
        let BoundingBox { west, south, east, north } = *self;
        point_of(feature).is_some_and(|Point { x, y }| {
            x >= west && y >= south && (x - west) / (east - west) + (y - south) / (north - south) <= 1.0
        })
    }

    /// `west,south,east,north`.
    pub(super) fn to_query(self) -> String {
        let BoundingBox { west, south, east, north } = self;
        format!("{west},{south},{east},{north}")
    }

    /// Its polygon as well-known text.
    pub(super) fn to_polygon(self) -> String {
        let BoundingBox { west, south, east, north } = self;
        format!("POLYGON(({west} {south},{east} {south},{east} {north},{west} {north},{west} {south}))")
    }
}

/// A name of a queryable and a value to compare it with.
pub(super) struct Sample<T> {
    pub(super) name: String,
    pub(super) value: T,
}

/// A feature's number of this name.
pub(super) fn number_of(feature: &Json, name: &str) -> Option<f64> {
    feature["properties"][name].as_f64()
}

/// A feature's text of this name.
pub(super) fn text_of<'f>(feature: &'f Json, name: &str) -> Option<&'f str> {
    feature["properties"][name].as_str()
}

impl Suite {
    /// A box in the middle of all points: about a quarter of them lie in it.
    pub(super) fn middle_box(&self) -> Result<BoundingBox, Stop> {
        let points: Vec<Point> = self.features.iter().filter_map(point_of).collect();
        if points.len() < MIN_POINTS {
            return Err(Stop::not_applicable("too few points"));
        }
        let quartiles = |coordinate: fn(&Point) -> f64| {
            let mut all: Vec<f64> = points.iter().map(coordinate).collect();
            all.sort_by(f64::total_cmp);
            [all[all.len() / 4], all[all.len() * 3 / 4]]
        };
        let [west, east] = quartiles(|point| point.x);
        let [south, north] = quartiles(|point| point.y);
        Ok(BoundingBox { west, south, east, north })
    }

    /// The first feature.
    pub(super) fn first_feature(&self) -> Result<&Json, Stop> {
        self.features.first().ok_or_else(|| Stop::not_applicable("no feature is there"))
    }

    /// A feature in the middle.
    pub(super) fn middle_feature(&self) -> Result<&Json, Stop> {
        self.features.get(self.features.len() / 2).ok_or_else(|| Stop::not_applicable("no feature is there"))
    }

    /// The location of the first feature that is a point.
    pub(super) fn first_point(&self) -> Option<Point> {
        self.features.iter().find_map(point_of)
    }

    /// The name of a queryable of this type and format that features have values of.
    pub(super) fn queryable(&self, value_type: &str, format: &str) -> Result<String, Stop> {
        let fits = |(name, schema): &(&String, &Json)| {
            let schema_type = schema["type"].as_str().unwrap_or_default();
            let schema_format = schema["format"].as_str().unwrap_or_default();
            let has_values = || self.features.iter().any(|f| !f["properties"][name.as_str()].is_null());
            schema_type == value_type
                && schema_format.starts_with(format)
                && format.is_empty() == schema_format.is_empty()
                && has_values()
        };
        let found = self.queryables.iter().find(fits);
        found
            .map(|(name, _)| name.clone())
            .ok_or_else(|| Stop::NotApplicable(format!("no queryable of type {value_type} {format}")))
    }

    /// All values of a number, in order.
    pub(super) fn sorted_numbers(&self, name: &str) -> Result<Vec<f64>, Stop> {
        let mut numbers: Vec<f64> = self.features.iter().filter_map(|f| number_of(f, name)).collect();
        numbers.sort_by(f64::total_cmp);
        if numbers.is_empty() {
            return Err(Stop::not_applicable("no numbers are there"));
        }
        Ok(numbers)
    }

    /// A number and its median.
    pub(super) fn median(&self) -> Result<Sample<f64>, Stop> {
        let name = self.queryable("number", "")?;
        let numbers = self.sorted_numbers(&name)?;
        Ok(Sample { name, value: numbers[numbers.len() / 2] })
    }

    /// The name of the geometry.
    pub(super) fn geometry(&self) -> Result<String, Stop> {
        let is_geometry =
            |schema: &Json| schema["format"].as_str().is_some_and(|format| format.starts_with("geometry-"));
        let found = self.queryables.iter().find(|(_, schema)| is_geometry(schema));
        found
            .map(|(name, _)| name.clone())
            .ok_or_else(|| Stop::not_applicable("no geometry can be asked for"))
    }

    /// A text that all features have, and the value of a feature in the middle.
    pub(super) fn text(&self) -> Result<Sample<String>, Stop> {
        let fits = |(name, schema): &(&String, &Json)| {
            schema["type"] == "string"
                && schema.get("format").is_none()
                && self.features.iter().all(|feature| text_of(feature, name).is_some())
        };
        let found = self.queryables.iter().find(fits);
        let name = found.map(|(name, _)| name.clone());
        let name = name.ok_or_else(|| Stop::not_applicable("no text that all features have"))?;
        let middle = &self.features[self.features.len() / 2];
        let value = text_of(middle, &name).unwrap_or_default().to_owned();
        Ok(Sample { name, value })
    }

    /// A date or time, and its median.
    pub(super) fn median_time(&self) -> Result<Sample<String>, Stop> {
        let name = self.queryable("string", "date")?;
        let mut times: Vec<&str> = self.features.iter().filter_map(|f| text_of(f, &name)).collect();
        times.sort_unstable();
        let value = times[times.len() / 2].to_owned();
        Ok(Sample { name, value })
    }

    /// The name of a text that some features have a value of and some have not.
    pub(super) fn nullable_text(&self) -> Result<String, Stop> {
        let nulls = |name: &str| self.features.iter().filter(|f| f["properties"][name].is_null()).count();
        let is_nullable = |name: &str| name != "id" && (1..self.features.len()).contains(&nulls(name));
        let found = self.queryables.iter().find(|(name, _)| is_nullable(name));
        let text = found.filter(|(_, schema)| schema["type"] == "string");
        text.map(|(name, _)| name.clone())
            .ok_or_else(|| Stop::not_applicable("no text that some features lack"))
    }
}
