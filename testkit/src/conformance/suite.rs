//! State of a suite for one service: the conformance classes that the service claims, its features,
//! and the requests that checks send.

use super::all_checks;
use super::check::{features_of, require, Check, CheckResult, EarlyExit, Outcome};
use crate::client::{feature_id, target_of, Client, Header, Request, Response};
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of features of a collection.
const MAX_FEATURES: usize = 20_000;
/// Maximum number of attempts of a request that is rejected or fails at the server.
const MAX_ATTEMPTS: usize = 40;
/// Time to wait before a retry after status 503.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Encoding of a CQL2 filter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FilterLanguage {
    Json,
    Text,
}

impl FilterLanguage {
    fn name(self) -> &'static str {
        match self {
            FilterLanguage::Json => "cql2-json",
            FilterLanguage::Text => "cql2-text",
        }
    }
}

/// Failure of a request for a document that the suite reads when it is opened.
#[derive(Debug, Error)]
#[error("{0:?}")]
pub struct OpenError(EarlyExit);

/// Suite of checks against one collection of a service.
pub struct Suite {
    client: Client,
    /// Path prefix of the service.
    root: String,
    conformance_classes: Vec<String>,
    /// Id of the collection, the first one of the service.
    pub(super) collection: String,
    /// All features of the collection.
    pub(super) features: Vec<Json>,
    /// Schemas of the queryables by name.
    pub(super) queryables: BTreeMap<String, Json>,
}

impl Suite {
    /// Reads the conformance classes that a service claims, and the id, features and queryables of its
    /// first collection. Features or queryables that can't be read are left empty.
    ///
    /// # Errors
    /// Returns an error if the conformance page or the list of collections can't be requested.
    pub fn open(address: SocketAddr, root: &str) -> Result<Self, OpenError> {
        let mut suite = Suite {
            client: Client::new(address),
            root: root.trim_end_matches('/').to_owned(),
            conformance_classes: Vec::new(),
            collection: String::new(),
            features: Vec::new(),
            queryables: BTreeMap::new(),
        };
        let conformance = suite.get("/conformance").map_err(OpenError)?.json();
        suite.conformance_classes = strings_in(&conformance["conformsTo"]);
        let collections = suite.get("/collections").map_err(OpenError)?.json();
        suite.collection = collections["collections"][0]["id"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        suite.features = suite
            .get_all(&format!("{}?limit=500", suite.items_path()))
            .unwrap_or_default();
        let schema = suite.get(&suite.collection_path("queryables"));
        let schema = schema.map(|response| response.json()).unwrap_or_default();
        let properties = schema["properties"]
            .as_object()
            .cloned()
            .unwrap_or_default();
        suite.queryables = properties.into_iter().collect();
        Ok(suite)
    }

    /// Runs every check and returns the results.
    pub fn run(&mut self) -> Vec<CheckResult> {
        all_checks()
            .map(|check| CheckResult {
                id: check.id,
                outcome: self.run_check(check),
            })
            .collect()
    }

    /// Runs the check with this identifier; returns `None` if it does not exist.
    pub fn run_one(&mut self, id: &str) -> Option<Outcome> {
        let check = all_checks().find(|check| check.id == id)?;
        Some(self.run_check(check))
    }

    /// Assumes that the service claims every class, so that no check is skipped.
    pub fn claim_all(&mut self) {
        self.conformance_classes = all_checks().map(|check| check.class.to_owned()).collect();
    }

    /// Runs a check if the service claims its conformance class.
    fn run_check(&mut self, check: &Check) -> Outcome {
        let class = check.class;
        if !class.is_empty()
            && !self
                .conformance_classes
                .iter()
                .any(|claimed| claimed.ends_with(class))
        {
            return Outcome::NotApplicable(format!("the service does not claim {class}"));
        }
        match (check.run)(self) {
            Ok(()) => Outcome::Pass,
            Err(exit) => exit.into(),
        }
    }

    /// Returns the path of the collection's items.
    pub(super) fn items_path(&self) -> String {
        self.collection_path("items")
    }

    /// Returns the path of a document of the collection.
    pub(super) fn collection_path(&self, document: &str) -> String {
        format!("/collections/{}/{document}", self.collection)
    }

    /// Sends a GET request and returns the response.
    pub(super) fn get(&mut self, path: &str) -> Result<Response, EarlyExit> {
        self.get_with(path, &[])
    }

    /// Sends a GET request with additional headers and returns the response.
    pub(super) fn get_with(
        &mut self,
        path: &str,
        headers: &[Header<'_>],
    ) -> Result<Response, EarlyExit> {
        self.send(&Request::new("GET", path, headers))
    }

    /// Sends a request whose target is relative to the root of the service. Retries rejected requests
    /// and server errors up to [`MAX_ATTEMPTS`] attempts and then returns the last response.
    pub(super) fn send(&mut self, request: &Request<'_>) -> Result<Response, EarlyExit> {
        let target = format!("{}{}", self.root, request.target);
        let request = Request {
            target: &target,
            ..*request
        };
        let mut last_response = None;
        for _ in 0..MAX_ATTEMPTS {
            let response = self.client.send(&request)?;
            if !matches!(response.status, 429 | 500..=504) {
                return Ok(response);
            }
            if response.status == 503 {
                std::thread::sleep(RETRY_BACKOFF);
            }
            last_response = Some(response);
        }
        last_response.ok_or_else(|| "no attempt was made".into())
    }

    /// Requests a JSON object; fails if the status is not 200 or the body is not an object.
    pub(super) fn get_json(&mut self, path: &str) -> Result<Json, EarlyExit> {
        let response = self.get(path)?;
        require(response.status == 200, || {
            format!("{path}: status {}", response.status)
        })?;
        let json = response.json();
        require(json.is_object(), || format!("{path}: not a JSON object"))?;
        Ok(json)
    }

    /// Requests the document of the collection.
    pub(super) fn get_collection(&mut self) -> Result<Json, EarlyExit> {
        self.get_json(&format!("/collections/{}", self.collection))
    }

    /// Requests a page of the collection's items with this query.
    pub(super) fn get_items(&mut self, query: &str) -> Result<Json, EarlyExit> {
        self.get_json(&format!("{}?{query}", self.items_path()))
    }

    /// Requests the target of a link.
    pub(super) fn follow(&mut self, href: &str) -> Result<Response, EarlyExit> {
        let path = self.without_root(&target_of(href));
        self.get(&path)
    }

    /// Removes the root of the service, which its links include.
    fn without_root(&self, target: &str) -> String {
        target.strip_prefix(&self.root).unwrap_or(target).to_owned()
    }

    /// Requests all pages of a query by following the `next` links, and returns their features.
    pub(super) fn get_all(&mut self, path: &str) -> Result<Vec<Json>, EarlyExit> {
        let mut features = Vec::new();
        let mut next = Some(path.to_owned());
        while let Some(path) = next {
            let response = self.get(&path)?;
            require(response.status == 200, || {
                format!("{path}: status {}: {}", response.status, response.text())
            })?;
            features.extend(features_of(&response.json()));
            require(features.len() <= MAX_FEATURES, || {
                "more features than the suite supports, or circular next links".to_owned()
            })?;
            next = response
                .link("next")
                .map(|target| self.without_root(&target));
        }
        Ok(features)
    }

    /// Requests all items that a query matches and returns their sorted ids.
    pub(super) fn get_ids(&mut self, query: &str) -> Result<Vec<String>, EarlyExit> {
        let features = self.get_all(&format!("{}?limit=500&{query}", self.items_path()))?;
        Ok(sorted_ids(&features))
    }

    /// Requests all items that a filter in this language matches and returns their sorted ids.
    pub(super) fn get_filtered(
        &mut self,
        filter: &str,
        language: FilterLanguage,
    ) -> Result<Vec<String>, EarlyExit> {
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query
            .append_pair("filter", filter)
            .append_pair("filter-lang", language.name());
        self.get_ids(&query.finish())
    }

    /// Returns the sorted ids of the features that satisfy the predicate.
    pub(super) fn expected_ids(&self, matches: impl Fn(&Json) -> bool) -> Vec<String> {
        sorted_ids(self.features.iter().filter(|feature| matches(feature)))
    }
}

/// Returns the sorted ids of features.
fn sorted_ids<'a>(features: impl IntoIterator<Item = &'a Json>) -> Vec<String> {
    let mut ids: Vec<String> = features.into_iter().map(feature_id).collect();
    ids.sort();
    ids
}

/// Returns the strings in a JSON array.
fn strings_in(list: &Json) -> Vec<String> {
    list.as_array()
        .into_iter()
        .flatten()
        .filter_map(|value| value.as_str().map(str::to_owned))
        .collect()
}
