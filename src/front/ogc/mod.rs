//! OGC API – Features: Parts 1, 2, 3 and 5, with CQL2 filters, orders and selections.
//!
//! A query for features is answered in rounds: each asks pages of some shards, a part a page. Which pages those are is
//! decided in [`paging`]; which server is asked, whether again, and what is refused, by the module.

mod area;
mod catalog;
pub mod check;
pub mod config;
pub mod cql2;
pub mod crs;
pub mod cursor;
mod deliver;
mod html;
pub mod inventory;
mod items;
pub mod learn;
pub mod paging;
pub mod params;
mod plans;
pub mod ranking;
mod render;
pub mod visit;

pub use catalog::Catalog;

use super::{Front, Reaction};
use crate::coordinator::{ClassMetrics, Metrics, Token, COUNTERS};
use crate::interface::ShardId;
use crate::limits::{AdmissionController, ServerCapacity, BASE_MEMORY};
use crate::proto::http::{HttpError, HttpRequest, Response};
use crate::time::Micros;
use config::Edge;
use cql2::Queryables;
use crs::Crs;
use cursor::Key;
use deliver::Manner;
use items::{Asked, Asker, Items};
use learn::Learned;
use render::Here;
use std::sync::{Arc, Mutex, MutexGuard};
use visit::{Kind, Visit};

/// Longest feature id passed on.
const MAX_ID: usize = 512;

/// Share of the memory beyond the base that answers may hold; a third is for what clients send.
const ANSWERS_SHARE: f64 = 0.45;

/// The catalog as the front, the driver and a reload share it.
pub type SharedCatalog = Arc<Mutex<Catalog>>;

/// Locks what is shared here. Nothing panics while it holds a lock; if something did, the state is still whole.
pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|e| e.into_inner())
}

/// What all queries of this front share.
pub(crate) struct Shared {
    edge: Edge,
    catalog: SharedCatalog,
    key: Key,
    figures: Arc<Metrics>,
    learned: Mutex<Learned>,
    bears: Arc<ServerCapacity>,
    admission: Mutex<AdmissionController>,
}

impl Shared {
    fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        lock(&self.admission)
    }

    fn learned(&self) -> MutexGuard<'_, Learned> {
        lock(&self.learned)
    }

    /// What the operator says can be asked of a collection.
    fn declared(&self, collection: &str) -> Option<Queryables> {
        self.edge.collections.iter().find(|c| c.id == collection)?.queryables()
    }

    fn tally(&self, class: usize) -> Arc<ClassMetrics> {
        self.figures.class(&self.edge.classes[class].name)
    }

    /// Do all servers of this collection give their features in the same order, with links that lead to the same place?
    fn same_order(&self, collection: &str) -> bool {
        self.edge.collections.iter().any(|c| c.id == collection && c.same_order)
    }
}

/// The front for feature queries.
pub struct Ogc {
    shared: Arc<Shared>,
}

/// Parameters of the items that mean the same whatever servers tell.
const PLAIN: [&str; 8] = ["limit", "bbox", "bbox-crs", "datetime", "crs", "properties", "cursor", "f"];

/// What is wrong with a request, as a status and what to say.
type Fault = (u16, String);

impl Ogc {
    /// A front with these settings.
    pub fn new(
        edge: Edge,
        catalog: SharedCatalog,
        key: Key,
        figures: Arc<Metrics>,
        bears: Arc<ServerCapacity>,
    ) -> Self {
        let learned = Mutex::new(Learned::new(Micros::from_secs(edge.learned_age_s)));
        let memory = (edge.memory_mb * 1024 * 1024).saturating_sub(BASE_MEMORY);
        let admission = Mutex::new(AdmissionController::new((memory as f64 * ANSWERS_SHARE) as usize));
        Ogc { shared: Arc::new(Shared { edge, catalog, key, figures, learned, bears, admission }) }
    }

    fn route(
        &self,
        request: &HttpRequest,
        token: Token,
        sent: Micros,
        ready: bool,
    ) -> Result<Reaction, Fault> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let segments: Vec<String> = path
            .split('/')
            .filter(|s| !s.is_empty())
            .map(|s| percent_encoding::percent_decode_str(s).decode_utf8().map(|s| s.into_owned()))
            .collect::<Result<_, _>>()
            .map_err(|_| (400, "the path is no UTF-8".to_owned()))?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let base = self.base(request);
        if segments == ["search"] {
            return self.search(request, token, sent, base);
        }
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err((405, "only GET and HEAD are served here".to_owned()));
        }
        let pairs = params::form_urlencoded(query);
        let f = pairs.iter().find(|p| p.0 == "f").map(|p| p.1.as_str());
        let html = params::format(f, request.headers.get("Accept"))? == params::Format::Html;
        let path = path.trim_end_matches('/');
        let here = Here { base: &base, path: if path.is_empty() { "/" } else { path }, html };
        let only =
            |allowed: &[&str]| match pairs.iter().find(|p| p.0 != "f" && !allowed.contains(&p.0.as_str())) {
                Some((other, _)) => Err((400, format!("unknown parameter {other:?}"))),
                None => Ok(()),
            };
        let plain = |response: Response| only(&[]).map(|()| Reaction::Respond(response));
        let edge = &self.shared.edge;
        match segments[..] {
            ["up"] if ready => plain(Response::new(200, "text/plain", "ready\n")),
            ["up"] => plain(Response::new(503, "text/plain", "not ready\n")),
            [] => plain(render::landing(&here)),
            ["conformance"] => plain(render::conformance(&here)),
            ["api"] => plain(render::api(&here, edge)),
            ["collections"] => {
                let names: Vec<String> =
                    lock(&self.shared.catalog).collections().map(str::to_owned).collect();
                plain(render::collections(&here, &names, edge))
            }
            ["collections", id] => {
                self.find(id)?;
                plain(render::collection(&here, id, edge))
            }
            ["collections", id, what @ ("queryables" | "sortables" | "schema")] => {
                only(&[])?;
                let shards = self.find(id)?;
                let asker = self.asker(request, token, sent)?;
                let (id, what, of) = (id.to_owned(), what.to_owned(), shards.clone());
                let (base, path) = (base.clone(), here.path.to_owned());
                Ok(items::learned(self.shared.clone(), asker, &of, move |shared| {
                    let mut told = items::queryables(&shared, &id, &shards);
                    if what == "sortables" {
                        use cql2::Kind::{Array, Geometry};
                        told.named.retain(|_, kind| !matches!(kind, Geometry | Array));
                    }
                    let here = Here { base: &base, path: &path, html };
                    Reaction::Respond(render::schema(&here, &format!("{what} of {id}"), &told))
                }))
            }
            ["collections", id, "items"] => {
                let shards = self.find(id)?;
                let asker = self.asker(request, token, sent)?;
                let plain = pairs.iter().all(|p| PLAIN.contains(&p.0.as_str()));
                let (collection, query, of) = (id.to_owned(), query.to_owned(), shards.clone());
                let own = asker.clone();
                let begin = move |shared: Arc<Shared>| {
                    // Plain parameters mean the same whatever can be asked.
                    let queryables = match plain {
                        true => Queryables::unknown(),
                        false => items::queryables(&shared, &collection, &shards),
                    };
                    let (default_limit, most_limit) = (shared.edge.default_limit, shared.edge.most_limit);
                    let known = params::Known { default_limit, most_limit, queryables: &queryables };
                    let params = params::read(&pairs, &known).map_err(|e| (400, e))?;
                    let asked = Asked { base, collection, query, search: None, params, html };
                    Items::begin(shared, own, asked, shards)
                };
                self.begin(plain, asker, &of, begin)
            }
            ["collections", id, "items", feature] => {
                let shards = self.find(id)?;
                if feature.len() > MAX_ID {
                    return Err((404, "there is no feature of that id".to_owned()));
                }
                only(&["crs"])?;
                let crs = match pairs.iter().find(|p| p.0 == "crs") {
                    None => Crs::Crs84,
                    Some((_, text)) => {
                        Crs::read(text).ok_or_else(|| (400, format!("crs: {text:?} is not served")))?
                    }
                };
                let escaped =
                    percent_encoding::utf8_percent_encode(feature, percent_encoding::NON_ALPHANUMERIC);
                let asker = self.asker(request, token, sent)?;
                let visits: Vec<_> = shards
                    .iter()
                    .map(|(shard, name)| {
                        let target = format!("/collections/{name}/items/{escaped}");
                        (*shard, Arc::new(Visit::new(Kind::Feature, target)))
                    })
                    .collect();
                let request = items::round(&self.shared, &asker, visits.iter().cloned());
                let (id, tally) = (id.to_owned(), self.shared.tally(asker.class));
                Ok(Reaction::Submit(
                    request,
                    Box::new(move |answer| {
                        let response = render::feature(&base, &id, &visits, (crs, html), answer);
                        items::tally(&tally, &response);
                        Reaction::Respond(response)
                    }),
                ))
            }
            _ => Err((404, "nothing is here".to_owned())),
        }
    }

    /// The shards of a collection, with the servers' names for them.
    fn find(&self, id: &str) -> Result<Vec<(ShardId, String)>, Fault> {
        let catalog = lock(&self.shared.catalog);
        let shards = catalog.shards(id).ok_or_else(|| (404, format!("there is no collection {id:?}")))?;
        let named = |s: &ShardId| (*s, catalog.source(*s).unwrap_or_default().to_owned());
        Ok(shards.iter().map(named).collect())
    }

    /// A query in a body, for what is too long for a head: in the form of the STAC API's Item Search, `POST /search`.
    fn search(
        &self,
        request: &HttpRequest,
        token: Token,
        sent: Micros,
        base: String,
    ) -> Result<Reaction, Fault> {
        if request.method != "POST" {
            return Err((405, "only POST is served here".to_owned()));
        }
        let kind = request.headers.get("Content-Type").unwrap_or_default();
        if !kind.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case("application/json") {
            return Err((415, "Content-Type: application/json is needed".to_owned()));
        }
        let body = params::search_body(&request.body).map_err(|e| (400, e))?;
        let collection = params::searched(&body).map_err(|e| (400, e))?;
        let shards = self.find(&collection)?;
        let asker = self.asker(request, token, sent)?;
        let (of, own) = (shards.clone(), asker.clone());
        let begin = move |shared: Arc<Shared>| {
            let known = |id: &str| Some(items::queryables(&shared, id, &shards));
            let most = (shared.edge.default_limit, shared.edge.most_limit);
            let (collection, params) = params::read_search(&body, known, most).map_err(|e| (400, e))?;
            let asked =
                Asked { base, collection, query: String::new(), search: Some(body), params, html: false };
            Items::begin(shared, own, asked, shards)
        };
        self.begin(false, asker, &of, begin)
    }

    /// Begins a query. Unless it is plain, what servers tell of what can be asked is looked at first: whether a name is one
    /// must not hang on who asked before.
    fn begin(
        &self,
        plain: bool,
        asker: Asker,
        shards: &[(ShardId, String)],
        begin: impl FnOnce(Arc<Shared>) -> Result<Reaction, Fault> + Send + 'static,
    ) -> Result<Reaction, Fault> {
        if plain {
            return begin(self.shared.clone());
        }
        Ok(items::learned(self.shared.clone(), asker, shards, |shared| {
            begin(shared).unwrap_or_else(|(status, why)| {
                COUNTERS.bad_requests.increment();
                Reaction::Respond(render::problem(status, &why))
            })
        }))
    }

    /// Where clients reach this front, as they say themselves.
    fn base(&self, request: &HttpRequest) -> String {
        let plain = |h: &&str| {
            h.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._:[]".contains(&b)) && !h.is_empty()
        };
        match request.headers.get("Host").filter(plain) {
            Some(host) => format!("http://{host}"),
            None => format!("http://{}", self.shared.edge.listen),
        }
    }

    /// Who asks, by the heads of its request.
    fn asker(&self, http: &HttpRequest, token: Token, sent: Micros) -> Result<Asker, Fault> {
        let classes = &self.shared.edge.classes;
        let class = match http.headers.get("X-Qos") {
            None => 0,
            Some(name) => {
                let class = classes.iter().position(|c| c.name == name);
                class.ok_or_else(|| (400, "X-Qos names no class".to_owned()))?
            }
        };
        let deadline = Micros::from_millis(classes[class].deadline_ms);
        let patience = match http.headers.get("X-Expires-In") {
            None => deadline,
            Some(text) => {
                let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
                let seconds = seconds.ok_or_else(|| (400, "X-Expires-In is no time".to_owned()))?;
                Micros((seconds.min(3_600.0) * 1e6) as u64).min(deadline)
            }
        };
        Ok(Asker { token, class, patience, sent })
    }
}

/// Most bytes of a request's body: a drawn area of ten thousand points is half of this.
const MAX_SEARCH: usize = 1024 * 1024;

impl Front for Ogc {
    fn handle(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction {
        let manner = Manner::of(&request);
        let reaction = self.route(&request, token, sent, ready).unwrap_or_else(|(status, detail)| {
            COUNTERS.bad_requests.increment();
            let mut response = render::problem(status, &detail);
            if status == 405 {
                let search = request.target.starts_with("/search");
                response.headers.push(("Allow", if search { "POST" } else { "GET, HEAD" }.to_owned()));
            }
            Reaction::Respond(response)
        });
        manner.wrap(reaction)
    }

    fn malformed_response(&self, error: HttpError) -> Response {
        render::problem(error.status(), &format!("the request cannot be read: {error:?}"))
    }

    fn max_body(&self) -> usize {
        MAX_SEARCH
    }

    /// Filters are parsed on it, nested as deep as they may be; measured with the deepest in a debug build.
    fn stack_words(&self) -> usize {
        0x20000
    }
}

#[cfg(test)]
#[path = "front_tests.rs"]
mod front_tests;
