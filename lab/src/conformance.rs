//! A conformance suite of the project's own: what the abstract test suites of OGC API - Features (Parts 1, 2, 3, 5) and CQL2
//! ask for, checked from outside, each check under the identifier of what it checks.
//!
//! What a filter must give is worked out here from the features themselves, by plain comparisons: nothing of the program's
//! is used for it.

mod core;
mod crs;
mod filters;

use crate::client::{Client, Response};
use serde::Serialize;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most features that the suite works on.
const MAX_FEATURES: usize = 20_000;
/// An answer that is refused is asked for again so often.
const TRIES: usize = 40;

/// What a check came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "outcome", content = "why", rename_all = "snake_case")]
pub enum Outcome {
    /// It holds.
    Pass,
    /// It does not, and this is what was seen.
    Fail(String),
    /// There is nothing to check, and this is why.
    NotApplicable(String),
}

/// A check that was made.
#[derive(Debug, Clone, Serialize)]
pub struct Checked {
    /// The identifier of what it checks.
    pub id: &'static str,
    /// What came of it.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Why a check fails.
pub(crate) type Failed = String;
/// A check: what it looks at is the suite's.
pub(crate) type Check = fn(&mut Suite) -> Result<(), Stop>;

/// A check ends before its end.
#[derive(Debug)]
pub enum Stop {
    /// It does not hold.
    Failed(Failed),
    /// There is nothing to check.
    None(String),
}

impl From<String> for Stop {
    fn from(why: String) -> Self {
        Stop::Failed(why)
    }
}

impl From<&str> for Stop {
    fn from(why: &str) -> Self {
        Stop::Failed(why.to_owned())
    }
}

impl From<std::io::Error> for Stop {
    fn from(e: std::io::Error) -> Self {
        Stop::Failed(e.to_string())
    }
}

/// Fails unless this holds.
pub(crate) fn hold(holds: bool, why: impl FnOnce() -> String) -> Result<(), Stop> {
    if holds {
        Ok(())
    } else {
        Err(Stop::Failed(why()))
    }
}

/// The suite at work on a service.
pub struct Suite {
    client: Client,
    /// Path before those of the standard.
    root: String,
    classes: Vec<String>,
    /// The collection that is looked at.
    pub(crate) collection: String,
    /// All its features, by the `next` links.
    pub(crate) features: Vec<Json>,
    pub(crate) queryables: BTreeMap<String, Json>,
}

/// All checks, by their identifiers.
pub fn checks() -> Vec<(&'static str, &'static str, Check)> {
    core::CHECKS.iter().chain(crs::CHECKS).chain(filters::CHECKS).copied().collect()
}

impl Suite {
    /// Looks at the service and at its first collection with features.
    pub fn open(address: SocketAddr, root: &str) -> Result<Self, String> {
        let mut suite = Suite {
            client: Client::new(address),
            root: root.trim_end_matches('/').to_owned(),
            classes: Vec::new(),
            collection: String::new(),
            features: Vec::new(),
            queryables: BTreeMap::new(),
        };
        let text = |list: &Json| -> Vec<String> {
            list.as_array().into_iter().flatten().filter_map(|c| c.as_str().map(str::to_owned)).collect()
        };
        let told = suite.get("/conformance").map_err(|e| format!("{e:?}"))?;
        suite.classes = text(&told.json()["conformsTo"]);
        let collections = suite.get("/collections").map_err(|e| format!("{e:?}"))?.json();
        let first = collections["collections"].as_array().and_then(|c| c.first()).cloned();
        suite.collection = first.and_then(|c| c["id"].as_str().map(str::to_owned)).unwrap_or_default();
        suite.features = suite.all(&format!("{}?limit=500", suite.items())).unwrap_or_default();
        let schema = suite.get(&format!("/collections/{}/queryables", suite.collection));
        let schema = schema.map(|a| a.json()).unwrap_or_default();
        suite.queryables =
            schema["properties"].as_object().map(|p| p.clone().into_iter().collect()).unwrap_or_default();
        Ok(suite)
    }

    /// Makes every check.
    pub fn run(&mut self) -> Vec<Checked> {
        let all = checks();
        all.into_iter().map(|check| Checked { id: check.0, outcome: self.make(check) }).collect()
    }

    /// Makes one check; `None`: there is none of that identifier.
    pub fn one(&mut self, id: &str) -> Option<Outcome> {
        let check = checks().into_iter().find(|c| c.0 == id)?;
        Some(self.make(check))
    }

    /// Takes every class for claimed: a service that claims none has nothing to fail.
    pub fn claim_all(&mut self) {
        self.classes = checks().iter().map(|c| c.1.to_owned()).collect();
    }

    fn make(&mut self, (_, class, check): (&'static str, &'static str, Check)) -> Outcome {
        if !class.is_empty() && !self.classes.iter().any(|c| c.ends_with(class)) {
            return Outcome::NotApplicable(format!("the service does not claim {class}"));
        }
        match check(self) {
            Ok(()) => Outcome::Pass,
            Err(Stop::Failed(why)) => Outcome::Fail(why),
            Err(Stop::None(why)) => Outcome::NotApplicable(why),
        }
    }

    pub(crate) fn items(&self) -> String {
        format!("/collections/{}/items", self.collection)
    }

    pub(crate) fn get(&mut self, path: &str) -> Result<Response, Stop> {
        self.get_with(path, &[])
    }

    /// GET; what is refused for now is asked for again, as a client would.
    pub(crate) fn get_with(&mut self, path: &str, headers: &[(&str, &str)]) -> Result<Response, Stop> {
        self.ask("GET", path, headers, &[])
    }

    pub(crate) fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Response, Stop> {
        let target = format!("{}{path}", self.root);
        let mut last = None;
        for _ in 0..TRIES {
            let answer = self.client.ask(method, &target, headers, body)?;
            if !matches!(answer.status, 429 | 500..=504) {
                return Ok(answer);
            }
            if answer.status == 503 {
                std::thread::sleep(std::time::Duration::from_millis(50));
            }
            last = Some(answer);
        }
        last.ok_or_else(|| "never asked".into())
    }

    /// A page that must be there, as JSON.
    pub(crate) fn json(&mut self, path: &str) -> Result<Json, Stop> {
        let answer = self.get(path)?;
        hold(answer.status == 200, || format!("{path}: status {}", answer.status))?;
        let json = answer.json();
        hold(json.is_object(), || format!("{path}: no JSON object"))?;
        Ok(json)
    }

    /// A page that links lead to: the root of the service is part of it already.
    pub(crate) fn follow(&mut self, href: &str) -> Result<Response, Stop> {
        let target = crate::client::target(href);
        let path = target.strip_prefix(&self.root).unwrap_or(&target).to_owned();
        self.get(&path)
    }

    /// All features of a query, over its `next` links.
    pub(crate) fn all(&mut self, path: &str) -> Result<Vec<Json>, Stop> {
        let mut features = Vec::new();
        let mut at = Some(path.to_owned());
        while let Some(path) = at {
            let answer = self.get(&path)?;
            hold(answer.status == 200, || format!("{path}: status {}: {}", answer.status, answer.text()))?;
            let json = answer.json();
            let page = json["features"].as_array().cloned().unwrap_or_default();
            features.extend(page);
            hold(features.len() <= MAX_FEATURES, || {
                "more features than the suite works on, or a circle".to_owned()
            })?;
            at = answer.link("next").map(|t| t.strip_prefix(&self.root).unwrap_or(&t).to_owned());
        }
        Ok(features)
    }

    /// The ids of a filter's features, in the order of ids.
    pub(crate) fn filtered(&mut self, filter: &str, lang: &str) -> Result<Vec<String>, Stop> {
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query.append_pair("limit", "500").append_pair("filter", filter).append_pair("filter-lang", lang);
        let path = format!("{}?{}", self.items(), query.finish());
        let mut ids: Vec<String> = self.all(&path)?.iter().map(id).collect();
        ids.sort();
        Ok(ids)
    }

    /// The ids of those features that this holds for.
    pub(crate) fn expected(&self, holds: impl Fn(&Json) -> bool) -> Vec<String> {
        let mut ids: Vec<String> = self.features.iter().filter(|f| holds(f)).map(id).collect();
        ids.sort();
        ids
    }

    /// A queryable of this type and format that features have values of.
    pub(crate) fn queryable(&self, kind: &str, format: &str) -> Result<String, Stop> {
        let fits = |(name, of): &(&String, &Json)| {
            let told = of["type"].as_str().unwrap_or_default();
            let said = of["format"].as_str().unwrap_or_default();
            let has = || self.features.iter().any(|f| !f["properties"][name.as_str()].is_null());
            told == kind && said.starts_with(format) && (format.is_empty() == said.is_empty()) && has()
        };
        let found = self.queryables.iter().find(fits);
        found.map(|q| q.0.clone()).ok_or_else(|| Stop::None(format!("no queryable of type {kind} {format}")))
    }
}

/// A feature's id as text.
pub(crate) fn id(feature: &Json) -> String {
    match &feature["id"] {
        Json::String(id) => id.clone(),
        id => id.to_string(),
    }
}

/// Same ids, or what differs.
pub(crate) fn same(what: &str, found: &[String], expected: &[String]) -> Result<(), Stop> {
    hold(found == expected, || {
        let missing = expected.iter().filter(|e| !found.contains(e)).count();
        let extra = found.iter().filter(|f| !expected.contains(f)).count();
        format!(
            "{what}: {} features for {}, {missing} missing, {extra} too many",
            found.len(),
            expected.len()
        )
    })
}
