//! The responses to a query over its `next` links, and the check that they are right.

use crate::servers::{feature_numbers, SHARDS};
use crate::standin::client::Response;
use crate::standin::feature_server::query_parameter;
use std::collections::BTreeSet;

/// The names of the classes.
pub const CLASSES: [&str; 3] = ["exact", "part", "once"];
/// The class whose parts must not run twice.
pub const NON_IDEMPOTENT: &str = "once";
/// The last coordinate of a query's `bbox` is the query's number divided by this.
pub const BBOX_SCALE: f64 = 1e5;

/// The identifier of a query. It is encoded in the `bbox`, since nothing else of a query reaches the
/// servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId {
    pub client: usize,
    pub query: usize,
}

impl QueryId {
    /// Returns the class of the query.
    pub fn class(self) -> &'static str {
        CLASSES[(self.client + self.query) % CLASSES.len()]
    }

    /// Returns the target of the first page.
    pub fn first_target(self) -> String {
        let QueryId { client, query } = self;
        format!(
            "/collections/devices/items?limit=5000&bbox=0,0,{client},{}",
            query as f64 / BBOX_SCALE
        )
    }

    /// Returns the query that a request starts at a shard; `None` if the request is for a later page.
    pub fn started_by(target: &str) -> Option<QueryId> {
        if query_parameter(target, "offset").is_some() {
            return None;
        }
        let parameters = target
            .split_once('?')
            .expect("the target has a query string")
            .1;
        let bbox = parameters
            .split('&')
            .find_map(|parameter| parameter.strip_prefix("bbox="))?;
        let numbers: Vec<f64> = bbox
            .split("%2C")
            .map(|n| n.parse().expect("the coordinate is a number"))
            .collect();
        Some(QueryId {
            client: numbers[2] as usize,
            query: (numbers[3] * BBOX_SCALE).round() as usize,
        })
    }
}

/// The responses to a query, in order: each but the first is to the request for the `next` link of
/// the one before.
pub struct Traversal {
    pub query: QueryId,
    /// The responses with status 200.
    pub pages: Vec<Response>,
    /// The status of the response that ended the traversal before the last page.
    pub failure: Option<u16>,
}

impl Traversal {
    /// Returns the kind of a traversal: whether all of its pages are right, and how it ended.
    pub fn kind(&self) -> String {
        let complete = self
            .pages
            .iter()
            .all(|page| missing_shards(page).is_empty());
        match self.failure {
            _ if !self.is_right() => {
                println!(
                    "wrong: {:?} {:?} {:?}",
                    self.query, self.failure, self.pages
                );
                "wrong".to_owned()
            }
            Some(status) if self.pages.is_empty() => status.to_string(),
            Some(status) => format!("{status} on a later page"),
            None if complete => "complete".to_owned(),
            None => "partial".to_owned(),
        }
    }

    /// Whether the pages have, in order and each once, all features of each shard that no page
    /// reports as missing. Of a missing shard they have the features before those that are missing;
    /// the page that reports the shard as missing has none of it. After a failure the same is true
    /// of the features before those of the page that failed.
    pub fn is_right(&self) -> bool {
        if !self.pages.iter().all(page_is_consistent) {
            return false;
        }
        let returned: Vec<String> = self.pages.iter().flat_map(Response::ids).collect();
        let missing: BTreeSet<usize> = self.pages.iter().flat_map(missing_shards).collect();
        let expected: Vec<String> = (0..SHARDS.len())
            .flat_map(|shard| {
                let all = feature_numbers(shard).map(|id| format!("d{id}"));
                let count = all.clone().filter(|id| returned.contains(id)).count();
                all.take(if missing.contains(&shard) {
                    count
                } else {
                    usize::MAX
                })
            })
            .collect();
        match self.failure {
            None => returned == expected,
            Some(_) => expected.starts_with(&returned),
        }
    }
}

/// Returns the indexes of the shards that a page reports as missing.
pub fn missing_shards(page: &Response) -> BTreeSet<usize> {
    let json = page.json();
    let names = json["missing"].as_array().into_iter().flatten();
    let index = |name: &serde_json::Value| SHARDS.iter().position(|shard| name == shard);
    names
        .map(|name| index(name).expect("the name is that of a shard"))
        .collect()
}

/// Whether `X-Answer-Whole` agrees with `missing`, the page has no feature of a shard that it
/// reports as missing, and a page that is not the last has at least one feature.
pub fn page_is_consistent(page: &Response) -> bool {
    let missing = missing_shards(page);
    let returned = page.ids();
    let is_missing = |id: &String| {
        missing
            .iter()
            .any(|s| feature_numbers(*s).any(|number| *id == format!("d{number}")))
    };
    page.headers["x-answer-whole"] == missing.is_empty().to_string()
        && !returned.iter().any(is_missing)
        && (page.link("next").is_none() || !returned.is_empty())
}
