//! Sorted responses of servers whose order differs from that of the front: followed to the end,
//! they return each feature once.

use crate::standin::feature_server::{
    inventory_row, query_parameter, FeatureServer, ServerResponse,
};
use crate::standin::process::Process;
use crate::support::ITEMS;
use quinceflow::front::ogc::cql2::{parse_text, Matcher};
use serde_json::{json, Value as Json};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The features of most tests.
const FEATURE_COUNT: usize = 25;
/// The limit of most responses.
const LIMIT: usize = 5;

/// Compares two features in the order of a server; the last argument is whether the largest key
/// comes first.
type ServerOrder = fn(&Json, &Json, bool) -> Ordering;

/// A server that sorts its features by the property `k` and then by their identifiers.
#[derive(Clone)]
struct SortingServer {
    features: Vec<Json>,
    order: ServerOrder,
    /// The declared types of `k` and of the identifier.
    types: [&'static str; 2],
    /// Whether the server evaluates filters.
    filters: bool,
}

impl SortingServer {
    /// Creates a server of numbers that evaluates no filters.
    fn new(features: Vec<Json>, order: ServerOrder) -> Self {
        SortingServer {
            features,
            order,
            types: ["number", "integer"],
            filters: false,
        }
    }

    fn start(&self) -> FeatureServer {
        let server = self.clone();
        FeatureServer::start(move |target| {
            ServerResponse::JsonInOneWrite(server.respond(target).to_string())
        })
    }

    fn respond(&self, target: &str) -> Json {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path == "/conformance" {
            return self.conformance();
        }
        if path.ends_with("/queryables") {
            return self.queryables();
        }
        let parameters: BTreeMap<String, String> = url::form_urlencoded::parse(query.as_bytes())
            .into_owned()
            .collect();
        self.page(path, target, &parameters)
    }

    fn conformance(&self) -> Json {
        let mut classes = vec!["x/conf/sorting"];
        if self.filters {
            classes.extend([
                "x/conf/cql2-text",
                "x/conf/features-filter",
                "x/conf/basic-cql2",
            ]);
        }
        json!({ "conformsTo": classes })
    }

    fn queryables(&self) -> Json {
        let [key, id] = self.types;
        json!({"properties": {"k": {"type": key}, "id": {"type": id}}})
    }

    fn page(&self, path: &str, target: &str, parameters: &BTreeMap<String, String>) -> Json {
        let mut selected = self.features.clone();
        if let Some(filter) = parameters.get("filter") {
            let matcher = Matcher::new(parse_text(filter).expect("the filter is well formed"));
            selected.retain(|feature| matcher.matches(feature));
        }
        if let Some(keys) = parameters.get("sortby") {
            let descending = keys.starts_with('-');
            selected.sort_by(|left, right| (self.order)(left, right, descending));
        }
        let size = query_parameter(target, "limit").expect("the size is given");
        let from = query_parameter(target, "offset").unwrap_or(0);
        let to = (from + size).min(selected.len());
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query.extend_pairs(parameters.iter().filter(|(name, _)| *name != "offset"));
        query.append_pair("offset", &to.to_string());
        let next = json!({"rel": "next", "href": format!("{path}?{}", query.finish())});
        let links = if to < selected.len() {
            vec![next]
        } else {
            Vec::new()
        };
        json!({"features": selected[from.min(to)..to], "links": links})
    }
}

fn feature(id: impl Into<Json>, key: impl Into<Json>) -> Json {
    json!({"type": "Feature", "id": id.into(), "properties": {"k": key.into()}})
}

fn key(feature: &Json) -> &Json {
    &feature["properties"]["k"]
}

/// Compares two keys as numbers. Features without a key come first.
fn compare_numbers(left: &Json, right: &Json) -> Ordering {
    let number = |json: &Json| json.as_f64().unwrap_or(f64::MIN);
    number(left).total_cmp(&number(right))
}

fn directed(order: Ordering, descending: bool) -> Ordering {
    if descending {
        order.reverse()
    } else {
        order
    }
}

/// The order of a server that compares numbers, with features without a key first, or last if the
/// largest key comes first.
fn missing_as_smallest(left: &Json, right: &Json, descending: bool) -> Ordering {
    let keys = compare_numbers(key(left), key(right));
    directed(keys, descending).then(compare_numbers(&left["id"], &right["id"]))
}

/// The order of a server that compares numbers, with features without a key last, or first if the
/// largest key comes first.
fn missing_as_largest(left: &Json, right: &Json, descending: bool) -> Ordering {
    let keys = key(left).is_null().cmp(&key(right).is_null());
    let keys = keys.then(compare_numbers(key(left), key(right)));
    directed(keys, descending).then(compare_numbers(&left["id"], &right["id"]))
}

/// The order of a server that compares texts without regard to case.
fn without_case(left: &Json, right: &Json, descending: bool) -> Ordering {
    let lower = |json: &Json| json.as_str().map(str::to_lowercase);
    directed(lower(key(left)).cmp(&lower(key(right))), descending)
        .then(lower(&left["id"]).cmp(&lower(&right["id"])))
}

/// The order of a server that compares the digits in texts as numbers, as the rules of some
/// languages do.
fn by_number_in_text(left: &Json, right: &Json, descending: bool) -> Ordering {
    let number = |json: &Json| json.as_str().and_then(|text| text[1..].parse::<u64>().ok());
    directed(number(key(left)).cmp(&number(key(right))), descending)
        .then(number(&left["id"]).cmp(&number(&right["id"])))
}

/// The order of a server that leaves features with equal keys as they are stored.
fn as_stored(left: &Json, right: &Json, descending: bool) -> Ordering {
    directed(compare_numbers(key(left), key(right)), descending)
}

/// Follows the `next` links of a sorted query. Returns the features.
fn follow(process: &Process, query: &str) -> Vec<Json> {
    let mut features = Vec::new();
    let mut next = Some(format!("{ITEMS}?{query}"));
    while let Some(target) = next {
        let response = process.get(&target);
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(response.headers["x-answer-whole"], "true");
        let json = response.json();
        features.extend(
            json["features"]
                .as_array()
                .expect("an array")
                .iter()
                .cloned(),
        );
        next = response.link("next");
    }
    features
}

/// Returns the text of each feature, sorted, without the members that the front adds.
fn texts(features: &[Json]) -> Vec<String> {
    let text = |feature: &Json| format!("{} {}", feature["id"], feature["properties"]);
    let mut texts: Vec<String> = features.iter().map(text).collect();
    texts.sort();
    texts
}

/// Asserts that the features are in the order of the front: those without a key come last.
fn assert_in_order(features: &[Json], descending: bool) {
    let compare = |left: &Json, right: &Json| {
        let values = compare_numbers(left, right).then(left.as_str().cmp(&right.as_str()));
        let missing = left.is_null().cmp(&right.is_null());
        missing.then(directed(values, descending))
    };
    let is_in_order = |pair: &[Json]| compare(key(&pair[0]), key(&pair[1])).is_le();
    assert!(features.windows(2).all(is_in_order), "{features:?}");
}

/// Asserts that each feature is returned once and in order, with servers that evaluate filters and others, and in
/// both directions.
fn assert_each_once(name: &str, server: SortingServer, limits: &[usize]) {
    for filters in [false, true] {
        let server = SortingServer {
            filters,
            ..server.clone()
        };
        let standin = server.start();
        let rows = inventory_row("a", &standin, "devices");
        let process = Process::start_feature_front(name, "", &rows);
        for limit in limits {
            for sortby in ["k", "-k"] {
                let returned = follow(&process, &format!("limit={limit}&sortby={sortby}"));
                assert_in_order(&returned, sortby.starts_with('-'));
                assert_eq!(
                    texts(&returned),
                    texts(&server.features),
                    "{name}: {limit} {sortby}, filters: {filters}"
                );
            }
        }
    }
}

/// Guards against features that are in no response, since the front ordered equal keys by their
/// identifiers as texts and the servers as numbers.
#[test]
fn identifiers_that_are_numbers_are_ordered_as_numbers() {
    let features = (1..=FEATURE_COUNT).map(|id| feature(id, 230)).collect();
    assert_each_once(
        "numbers",
        SortingServer::new(features, missing_as_smallest),
        &[LIMIT, 100],
    );
}

/// Guards against identifiers that are equal as floating-point numbers and count as one feature.
#[test]
fn large_identifiers_are_compared_exactly() {
    let first: u64 = 1 << 53;
    let features = (first..first + 9).map(|id| feature(id, 230)).collect();
    let in_order = |left: &Json, right: &Json, descending| {
        directed(compare_numbers(key(left), key(right)), descending)
            .then(left["id"].as_u64().cmp(&right["id"].as_u64()))
    };
    assert_each_once("large", SortingServer::new(features, in_order), &[2, 100]);
}

/// Guards against features that are in no response, since servers order texts by other rules than
/// the front.
#[test]
fn texts_may_have_another_order_at_servers() {
    let by_id = (1..=FEATURE_COUNT)
        .map(|id| feature(format!("d{id}"), "e1"))
        .collect();
    let server = SortingServer {
        types: ["string", "string"],
        ..SortingServer::new(by_id, by_number_in_text)
    };
    assert_each_once("text-ids", server.clone(), &[LIMIT]);
    let by_key = (1..=FEATURE_COUNT).map(|n| feature(format!("d{n}"), format!("e{n}")));
    let features = by_key.collect();
    assert_each_once(
        "text-keys",
        SortingServer {
            features,
            ..server.clone()
        },
        &[LIMIT],
    );
    let letters = ["a", "B", "c", "D", "e", "F", "g", "H", "i", "J"];
    let features = letters.map(|letter| feature(letter, letter)).to_vec();
    let order = without_case;
    assert_each_once(
        "case",
        SortingServer {
            features,
            order,
            ..server
        },
        &[1, 3],
    );
}

/// Guards against features that are in no response, since features with equal keys come in any
/// order that is stable.
#[test]
fn features_with_equal_keys_may_come_in_any_order() {
    let shuffled = |n: usize| (n * 7) % FEATURE_COUNT;
    let features = (0..FEATURE_COUNT).map(|n| feature(format!("d{}", shuffled(n)), n / 12));
    let server = SortingServer {
        types: ["number", "string"],
        ..SortingServer::new(features.collect(), as_stored)
    };
    assert_each_once("ties", server, &[1, LIMIT]);
}

/// Guards against features that are in no response, since servers place features without a value
/// first where the front places them last.
#[test]
fn features_without_a_value_may_come_first_or_last() {
    let key = |n: usize| {
        if n.is_multiple_of(3) {
            Json::Null
        } else {
            (n / 2).into()
        }
    };
    let features: Vec<Json> = (0..FEATURE_COUNT).map(|n| feature(n, key(n))).collect();
    for order in [missing_as_smallest, missing_as_largest] {
        let server = SortingServer::new(features.clone(), order);
        assert_each_once("missing", server, &[1, 3, LIMIT, 12]);
    }
}

/// Guards against features with equal keys and without an identifier that replace each other.
#[test]
fn features_without_an_identifier_are_distinguished_by_their_content() {
    let without_id = |n: usize| json!({"type": "Feature", "properties": {"k": 230, "n": n}});
    let features = (0..FEATURE_COUNT).map(without_id).collect();
    assert_each_once(
        "no-ids",
        SortingServer::new(features, as_stored),
        &[LIMIT, 100],
    );
}

/// Guards against a feature that is in no response, since a feature of another shard has the same
/// key and the same identifier.
#[test]
fn equal_features_of_two_shards_are_both_returned() {
    let features: Vec<Json> = (1..=4).map(|id| feature(id, 230)).collect();
    let server = SortingServer::new(features, missing_as_smallest);
    for filters in [false, true] {
        let standins = [0, 1].map(|_| {
            SortingServer {
                filters,
                ..server.clone()
            }
            .start()
        });
        let rows = inventory_row("a", &standins[0], "devices/n")
            + &inventory_row("b", &standins[1], "devices/s");
        let process = Process::start_feature_front("equal", "", &rows);
        for limit in [1, 3, 8] {
            let returned = follow(&process, &format!("limit={limit}&sortby=k"));
            let ids: Vec<u64> = returned
                .iter()
                .filter_map(|json| json["id"].as_u64())
                .collect();
            assert_eq!(ids, [1, 1, 2, 2, 3, 3, 4, 4], "limit {limit}");
        }
    }
}

/// Guards against pages that are read although the order of numbers, or the setting for texts, shows
/// that they have none of the first features.
#[test]
fn reading_stops_early_where_the_order_is_shared() {
    let numbers = (0..2_000).map(|id| feature(id, id / 100)).collect();
    let texts = (0..2_000).map(|id| feature(format!("d{id:04}"), format!("e{:02}", id / 100)));
    let by_code_point = |left: &Json, right: &Json, descending| {
        directed(key(left).as_str().cmp(&key(right).as_str()), descending)
            .then(left["id"].as_str().cmp(&right["id"].as_str()))
    };
    let text_server = SortingServer {
        types: ["string", "string"],
        ..SortingServer::new(texts.collect(), by_code_point)
    };
    let text_settings = "[[collection]]\nid = \"devices\"\nsame_text_order = true\n";
    for (settings, server) in [
        ("", SortingServer::new(numbers, missing_as_smallest)),
        (text_settings, text_server),
    ] {
        let standin = server.start();
        let rows = inventory_row("a", &standin, "devices");
        let process = Process::start_feature_front("early", settings, &rows);
        for sortby in ["k", "-k"] {
            let before = standin.count_requests(|target| target.contains("/items?"));
            let response = process.get(&format!("{ITEMS}?limit=10&sortby={sortby}"));
            assert_eq!(response.json()["numberReturned"], 10, "{response:?}");
            let requests = standin.count_requests(|target| target.contains("/items?")) - before;
            assert_eq!(requests, 1, "{sortby}");
        }
    }
}
