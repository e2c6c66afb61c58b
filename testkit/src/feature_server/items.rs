//! Pages of features: selection by filter, bounding box and time, sorting, and `next` links.

use super::dataset::{Dataset, Point};
use super::document::{Document, GEO_JSON};
use super::{Capabilities, Fault, RegisteredRequest, ServerState};
use quinceflow::front::ogc::cql2::{self, Matcher};
use serde_json::{json, Value as Json};
use std::cmp::Ordering;
use std::collections::BTreeMap;

const DEFAULT_LIMIT: usize = 10;
const MAX_LIMIT: usize = 500;

/// Request for features of a collection.
pub(super) struct ItemsRequest<'a> {
    path: &'a str,
    parameters: BTreeMap<String, String>,
}

/// Range of a page in a selection of features; `end` is exclusive.
#[derive(Clone, Copy)]
struct PageRange {
    start: usize,
    end: usize,
}

impl<'a> ItemsRequest<'a> {
    /// Parses the query of a request; of parameters with the same name, the last one is used.
    pub(super) fn new(path: &'a str, query: &str) -> Self {
        let parameters = url::form_urlencoded::parse(query.as_bytes())
            .into_owned()
            .collect();
        ItemsRequest { path, parameters }
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    fn numeric_parameter(&self, name: &str) -> Option<usize> {
        self.parameter(name)?.parse().ok()
    }

    fn page_range(&self, selected_count: usize, fault: Fault) -> PageRange {
        let limit = self
            .numeric_parameter("limit")
            .unwrap_or(DEFAULT_LIMIT)
            .clamp(1, MAX_LIMIT);
        let limit = if fault == Fault::ShortPage {
            limit.div_ceil(2)
        } else {
            limit
        };
        let start = self
            .numeric_parameter("offset")
            .unwrap_or(0)
            .min(selected_count);
        PageRange {
            start,
            end: (start + limit).min(selected_count),
        }
    }

    /// Returns the links of a page whose next page starts at `offset`.
    fn links(&self, offset: usize, selected_count: usize) -> Json {
        if offset >= selected_count {
            return json!([]);
        }
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query.extend_pairs(
            self.parameters
                .iter()
                .filter(|(name, _)| !matches!(name.as_str(), "offset" | "limit")),
        );
        query.append_pair("limit", self.parameter("limit").unwrap_or("10"));
        if offset > 0 {
            query.append_pair("offset", &offset.to_string());
        }
        let href = format!("{}?{}", self.path, query.finish());
        json!([{"rel": "next", "href": href, "type": GEO_JSON}])
    }
}

impl ServerState {
    /// Returns a page of features, or an error document for an invalid request.
    pub(super) fn items(&self, items: &ItemsRequest<'_>, request: RegisteredRequest) -> Document {
        let mut selected: Vec<usize> = (0..self.dataset.features.len()).collect();
        if let Some(filter) = items.parameter("filter") {
            if self.capabilities == Capabilities::Core {
                return Document::bad_request("filters are not supported");
            }
            let Ok(filter) = cql2::parse_text(filter) else {
                return Document::bad_request("invalid filter");
            };
            let matcher = Matcher::new(filter);
            selected.retain(|index| matcher.matches(&self.dataset.features[*index]));
        }
        if let Some(bbox) = items.parameter("bbox") {
            let Some(bbox) = BoundingBox::parse(bbox) else {
                return Document::bad_request("invalid bbox");
            };
            selected.retain(|index| bbox.contains(self.dataset.point(*index)));
        }
        if let Some(interval) = items.parameter("datetime") {
            let interval = TimeInterval::parse(interval);
            selected.retain(|index| interval.contains(self.dataset.installed(*index)));
        }
        if let Some(keys) = items.parameter("sortby") {
            if self.capabilities != Capabilities::FiltersAndSorting {
                return Document::bad_request("sorting is not supported");
            }
            sort(&self.dataset, &mut selected, keys);
        }
        self.page(items, request, &selected)
    }

    fn page(
        &self,
        items: &ItemsRequest<'_>,
        request: RegisteredRequest,
        selected: &[usize],
    ) -> Document {
        let RegisteredRequest { number, fault } = request;
        let range = items.page_range(selected.len(), fault);
        self.slots.simulate_work(range.end - range.start);
        let mut texts: Vec<&str> = selected[range.start..range.end]
            .iter()
            .map(|index| self.dataset.texts[*index].as_str())
            .collect();
        if fault == Fault::DuplicateFeature {
            texts.extend(texts.first().copied());
        }
        let next_offset = if fault == Fault::LinkToSelf {
            range.start
        } else {
            range.end
        };
        let links = items.links(next_offset, selected.len());
        let excess = if fault == Fault::UnstableCount {
            number % 7 + 1
        } else {
            0
        };
        let matched = selected.len() as u64 + excess;
        let features = texts.join(",\n");
        Document::geo_json(format!(
            "{{\"type\":\"FeatureCollection\",\"numberMatched\":{matched},\"links\":{links},\
             \"features\":[{features}]}}"
        ))
    }
}

/// Bounding box in degrees; if its west is greater than its east, it crosses the antimeridian.
struct BoundingBox {
    west: f64,
    south: f64,
    east: f64,
    north: f64,
}

impl BoundingBox {
    fn parse(text: &str) -> Option<Self> {
        let numbers: Vec<f64> = text
            .split(',')
            .filter_map(|number| number.parse().ok())
            .collect();
        let [west, south, east, north] = numbers[..] else {
            return None;
        };
        Some(BoundingBox {
            west,
            south,
            east,
            north,
        })
    }

    fn contains(
        &self,
        Point {
            longitude,
            latitude,
        }: Point,
    ) -> bool {
        let BoundingBox {
            west,
            south,
            east,
            north,
        } = *self;
        let contains_longitude = if west <= east {
            west <= longitude && longitude <= east
        } else {
            longitude >= west || longitude <= east
        };
        contains_longitude && south <= latitude && latitude <= north
    }
}

/// Closed time interval. Its start and end are in the format of RFC 3339 and in UTC, so that they
/// can be compared as texts; an unbounded one is empty or `..`.
struct TimeInterval<'a> {
    start: &'a str,
    end: &'a str,
}

impl<'a> TimeInterval<'a> {
    fn parse(text: &'a str) -> Self {
        let (start, end) = text.split_once('/').unwrap_or((text, text));
        TimeInterval { start, end }
    }

    fn contains(&self, instant: &str) -> bool {
        let is_unbounded = |end: &str| matches!(end, "" | "..");
        (is_unbounded(self.start) || instant >= self.start)
            && (is_unbounded(self.end) || instant <= self.end)
    }
}

/// Property by which features are sorted, with the direction.
struct SortKey<'a> {
    name: &'a str,
    descending: bool,
}

impl<'a> SortKey<'a> {
    fn parse(text: &'a str) -> Self {
        match text.strip_prefix('-') {
            Some(name) => SortKey {
                name,
                descending: true,
            },
            None => SortKey {
                name: text.trim_start_matches(['+', ' ']),
                descending: false,
            },
        }
    }

    /// Compares two values; null sorts last in both directions.
    fn compare(&self, left: &Json, right: &Json) -> Ordering {
        let ascending = match (left, right) {
            (Json::Null, Json::Null) => Ordering::Equal,
            (Json::Null, _) => return Ordering::Greater,
            (_, Json::Null) => return Ordering::Less,
            (Json::String(left), Json::String(right)) => left.cmp(right),
            (left, right) => left
                .as_f64()
                .partial_cmp(&right.as_f64())
                .unwrap_or(Ordering::Equal),
        };
        if self.descending {
            ascending.reverse()
        } else {
            ascending
        }
    }
}

/// Sorts a selection by comma-separated keys; the sort is stable.
fn sort(dataset: &Dataset, selected: &mut [usize], keys: &str) {
    let keys: Vec<SortKey<'_>> = keys.split(',').map(SortKey::parse).collect();
    selected.sort_by(|left, right| {
        keys.iter().fold(Ordering::Equal, |order, key| {
            order.then(key.compare(
                dataset.value(*left, key.name),
                dataset.value(*right, key.name),
            ))
        })
    });
}
