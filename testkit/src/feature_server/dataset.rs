//! Synthetic devices, which are the features that servers hold, and their queryables.

use serde_json::{json, Value as Json};
use std::ops::Range;

/// Features and their serialized texts, in the order in which the server returns them by default.
pub(super) struct Dataset {
    pub(super) features: Vec<Json>,
    pub(super) texts: Vec<String>,
}

/// Location in degrees.
#[derive(Clone, Copy)]
pub(super) struct Point {
    pub(super) longitude: f64,
    pub(super) latitude: f64,
}

impl Dataset {
    /// Creates a dataset of features with their serialized texts.
    pub(super) fn new(features: Vec<Json>) -> Dataset {
        let texts = features.iter().map(Json::to_string).collect();
        Dataset { features, texts }
    }

    /// Returns the serialized text of the feature with this id.
    pub(super) fn find(&self, id: &str) -> Option<&str> {
        let index = self
            .features
            .iter()
            .position(|feature| feature["id"] == id)?;
        Some(&self.texts[index])
    }

    /// Returns the location of a feature.
    pub(super) fn point(&self, index: usize) -> Point {
        let coordinates = &self.features[index]["geometry"]["coordinates"];
        Point {
            longitude: coordinates[0].as_f64().unwrap_or(0.0),
            latitude: coordinates[1].as_f64().unwrap_or(0.0),
        }
    }

    /// Returns the installation time of a device, to which the parameter `datetime` applies.
    pub(super) fn installed(&self, index: usize) -> &str {
        self.features[index]["properties"]["installed"]
            .as_str()
            .unwrap_or_default()
    }

    /// Returns the value of a property or of `id`.
    pub(super) fn value(&self, index: usize, name: &str) -> &Json {
        match name {
            "id" => &self.features[index]["id"],
            name => &self.features[index]["properties"][name],
        }
    }
}

/// Returns the devices with these numbers. A device depends on its number alone.
#[must_use]
pub fn devices(numbers: Range<usize>) -> Vec<Json> {
    numbers.map(device).collect()
}

fn device(number: usize) -> Json {
    const KINDS: [&str; 4] = ["meter", "relay", "Wächter", "café sensor"];
    // The factors are primes, which spread the locations over an area of 2 by 2 degrees.
    let longitude = -121.0 + (number * 7919 % 20_000) as f64 / 10_000.0;
    let latitude = 37.0 + (number * 104_729 % 20_000) as f64 / 10_000.0;
    let year = 2010 + number % 15;
    let month = 1 + number % 12;
    let day = 1 + number % 28;
    let feeder = if number.is_multiple_of(10) {
        Json::Null
    } else {
        json!(format!("F-{}", number % 40))
    };
    json!({
        "type": "Feature", "id": format!("d{number:05}"),
        "geometry": {"type": "Point", "coordinates": [longitude, latitude]},
        "properties": {
            "name": format!("{} {number}", KINDS[number % KINDS.len()]),
            "volts": 110 + number * 31 % 140,
            "live": !number.is_multiple_of(3),
            "installed": format!("{year}-{month:02}-{day:02}T00:00:00Z"),
            "tags": [format!("t{}", number % 5), format!("z{}", number % 7)],
            "feeder": feeder,
        }
    })
}

/// Returns the document of `/collections/ID/queryables`.
pub(super) fn queryables() -> Json {
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "id": {"type": "string"},
            "name": {"type": "string"},
            "volts": {"type": "number"},
            "live": {"type": "boolean"},
            "installed": {"type": "string", "format": "date-time"},
            "tags": {"type": "array"},
            "feeder": {"type": "string"},
            "geometry": {"format": "geometry-point"}
        }
    })
}
