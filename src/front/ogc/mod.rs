//! OGC API – Features, Part 1 Core, and a drawn area as a CQL2 filter.
//!
//! A query for features is answered in rounds: each asks pages of some shards, a part a page. Which pages those are is
//! decided in [`paging`]; which server is asked, whether again, and what is refused, by the module.

mod area;
mod catalog;
pub mod check;
pub mod config;
pub mod cql2;
mod crs;
pub mod cursor;
pub mod inventory;
mod items;
pub mod learn;
pub mod paging;
mod params;
pub mod ranking;
mod render;
pub mod visit;

pub use catalog::Catalog;

use super::{Front, Reaction};
use crate::core::{Figures, Tally, Token, COUNTERS};
use crate::interface::ShardId;
use crate::proto::http::{HttpError, HttpRequest, Response};
use crate::time::Micros;
use config::Edge;
use cursor::Key;
use items::{Asker, Items};
use std::sync::{Arc, Mutex, MutexGuard};
use visit::{Kind, Visit};

/// Longest feature id passed on.
const MOST_ID: usize = 512;

/// The catalog as the front, the driver and a reload share it.
pub type SharedCatalog = Arc<Mutex<Catalog>>;

/// Locks the catalog.
pub fn lock(catalog: &SharedCatalog) -> MutexGuard<'_, Catalog> {
    catalog.lock().unwrap_or_else(|e| e.into_inner())
}

/// What all queries of this front share.
pub(crate) struct Shared {
    edge: Edge,
    catalog: SharedCatalog,
    key: Key,
    figures: Arc<Figures>,
}

impl Shared {
    fn tally(&self, class: usize) -> Arc<Tally> {
        self.figures.class(&self.edge.classes[class].name)
    }

    /// Do all servers of this collection give their features in the same order, with links that lead to the same place?
    fn same_order(&self, collection: &str) -> bool {
        self.edge.collections.iter().any(|c| c.id == collection && c.same_order)
    }

    /// Is the one shard asked the other, or that one at a certain server?
    fn stands_for(&self, asked: ShardId, shard: ShardId) -> bool {
        asked == shard || lock(&self.catalog).pinned_of(asked) == Some(shard)
    }
}

/// The front for feature queries.
pub struct Ogc {
    shared: Arc<Shared>,
}

/// What is wrong with a request, as a status and what to say.
type Fault = (u16, String);

impl Ogc {
    /// A front with these settings.
    pub fn new(edge: Edge, catalog: SharedCatalog, key: Key, figures: Arc<Figures>) -> Self {
        Ogc { shared: Arc::new(Shared { edge, catalog, key, figures }) }
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
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err((405, "only GET and HEAD are served".to_owned()));
        }
        let base = self.base(request);
        let plain = |response: Response| {
            for (name, value) in params::form_urlencoded(query) {
                match name.as_str() {
                    "f" => params::format(&value).map_err(|e| (400, e))?,
                    other => return Err((400, format!("unknown parameter {other:?}"))),
                }
            }
            Ok(Reaction::Respond(response))
        };
        let find = |id: &str| {
            let catalog = lock(&self.shared.catalog);
            let shards = catalog.shards(id).ok_or_else(|| (404, format!("there is no collection {id:?}")))?;
            let named = |s: &ShardId| (*s, catalog.source(*s).unwrap_or_default().to_owned());
            Ok::<_, Fault>(shards.iter().map(named).collect::<Vec<_>>())
        };
        match segments[..] {
            ["up"] if ready => plain(Response::new(200, "text/plain", "ready\n")),
            ["up"] => plain(Response::new(503, "text/plain", "not ready\n")),
            [] => plain(render::landing(&base)),
            ["conformance"] => plain(render::conformance()),
            ["api"] => plain(render::api(&base, &self.shared.edge)),
            ["collections"] => {
                let names: Vec<String> =
                    lock(&self.shared.catalog).collections().map(str::to_owned).collect();
                plain(render::collections(&base, &names, &self.shared.edge))
            }
            ["collections", id] => {
                find(id)?;
                plain(render::collection(&base, id, &self.shared.edge))
            }
            ["collections", id, "items"] => {
                let shards = find(id)?;
                let edge = &self.shared.edge;
                let params =
                    params::read(query, edge.default_limit, edge.most_limit).map_err(|e| (400, e))?;
                let asker = self.asker(request, token, sent)?;
                Items::begin(self.shared.clone(), asker, base, id, query, params, shards)
            }
            ["collections", id, "items", feature] => {
                let shards = find(id)?;
                if feature.len() > MOST_ID {
                    return Err((404, "there is no feature of that id".to_owned()));
                }
                plain(Response::new(200, "", ""))?;
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
                Ok(Reaction::Ask(
                    request,
                    Box::new(move |answer| {
                        let response = render::feature(&base, &id, &visits, answer);
                        items::tally(&tally, &response);
                        Reaction::Respond(response)
                    }),
                ))
            }
            _ => Err((404, "nothing is here".to_owned())),
        }
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

impl Front for Ogc {
    fn take(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction {
        self.route(&request, token, sent, ready).unwrap_or_else(|(status, detail)| {
            COUNTERS.bad_requests.add();
            let mut response = render::problem(status, &detail);
            if status == 405 {
                response.headers.push(("Allow", "GET, HEAD".to_owned()));
            }
            Reaction::Respond(response)
        })
    }

    fn unreadable(&self, error: HttpError) -> Response {
        render::problem(error.status(), &format!("the request cannot be read: {error:?}"))
    }
}
