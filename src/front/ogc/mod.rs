//! OGC API – Features, Part 1 Core, and a drawn area as a CQL2 filter.
//!
//! A query for features has a part for each shard that holds the collection. A part's value is a JSON array of the
//! features that its server gave over all pages, in the server's order; for one feature by its id it is an array of
//! one, or of none where the server does not have it.

mod area;
mod catalog;
pub mod check;
pub mod config;
pub mod inventory;
mod params;
mod render;

pub use catalog::Catalog;

use super::{Front, Reaction};
use crate::core::{PartOf, Request, Token, COUNTERS};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::{HttpError, HttpRequest, Response};
use crate::time::Micros;
use config::Edge;
use params::Params;
use std::sync::{Arc, Mutex, MutexGuard};

/// Longest feature id passed on.
const MOST_ID: usize = 512;

/// The catalog as the front, the driver and a reload share it.
pub type SharedCatalog = Arc<Mutex<Catalog>>;

/// Locks the catalog.
pub fn lock(catalog: &SharedCatalog) -> MutexGuard<'_, Catalog> {
    catalog.lock().unwrap_or_else(|e| e.into_inner())
}

/// What a response says of the query it answers.
#[derive(Debug, Clone)]
struct Asked {
    /// Where clients reach this front.
    base: String,
    collection: String,
    query: String,
    params: Params,
    /// The shards asked, with the servers' names for them, in order.
    shards: Vec<(ShardId, String)>,
}

/// The front for feature queries.
pub struct Ogc {
    edge: Edge,
    catalog: SharedCatalog,
}

/// What is wrong with a request, as a status and what to say.
type Fault = (u16, String);

impl Ogc {
    /// A front with these settings.
    pub fn new(edge: Edge, catalog: SharedCatalog) -> Self {
        Ogc { edge, catalog }
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
            let catalog = lock(&self.catalog);
            let shards = catalog.shards(id).ok_or_else(|| (404, format!("there is no collection {id:?}")))?;
            let named = |s: &ShardId| (*s, catalog.source(*s).unwrap_or_default().to_owned());
            Ok::<_, Fault>(shards.iter().map(named).collect::<Vec<_>>())
        };
        match segments[..] {
            ["up"] if ready => plain(Response::new(200, "text/plain", "ready\n")),
            ["up"] => plain(Response::new(503, "text/plain", "not ready\n")),
            [] => plain(render::landing(&base)),
            ["conformance"] => plain(render::conformance()),
            ["api"] => plain(render::api(&base, &self.edge)),
            ["collections"] => {
                let names: Vec<String> = lock(&self.catalog).collections().map(str::to_owned).collect();
                plain(render::collections(&base, &names, &self.edge))
            }
            ["collections", id] => {
                find(id)?;
                plain(render::collection(&base, id, &self.edge))
            }
            ["collections", id, "items"] => {
                let shards = find(id)?;
                let edge = &self.edge;
                let params =
                    params::read(query, edge.default_limit, edge.most_limit).map_err(|e| (400, e))?;
                let shards = from_cursor(shards, &params)?;
                let text = server_query(&params, edge.page_size);
                let asked = Asked {
                    base,
                    collection: id.to_owned(),
                    query: query.to_owned(),
                    params,
                    shards: shards.clone(),
                };
                let request = self.request(request, token, sent, &shards, format!("items?{text}"))?;
                Ok(Reaction::Ask(request, Box::new(move |answer| render::items(&asked, answer))))
            }
            ["collections", id, "items", feature] => {
                let shards = find(id)?;
                if feature.len() > MOST_ID {
                    return Err((404, "there is no feature of that id".to_owned()));
                }
                plain(Response::new(200, "", ""))?;
                let escaped =
                    percent_encoding::utf8_percent_encode(feature, percent_encoding::NON_ALPHANUMERIC);
                let request = self.request(request, token, sent, &shards, format!("items/{escaped}"))?;
                let (id, count) = (id.to_owned(), shards.len());
                Ok(Reaction::Ask(request, Box::new(move |answer| render::feature(&base, &id, count, answer))))
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
            None => format!("http://{}", self.edge.listen),
        }
    }

    fn request(
        &self,
        http: &HttpRequest,
        token: Token,
        sent: Micros,
        shards: &[(ShardId, String)],
        text: String,
    ) -> Result<Request, Fault> {
        let class = match http.headers.get("X-Qos") {
            None => 0,
            Some(name) => {
                let class = self.edge.classes.iter().position(|c| c.name == name);
                class.ok_or_else(|| (400, "X-Qos names no class".to_owned()))?
            }
        };
        let deadline = Micros::from_millis(self.edge.classes[class].deadline_ms);
        let patience = match http.headers.get("X-Expires-In") {
            None => deadline,
            Some(text) => {
                let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
                let seconds = seconds.ok_or_else(|| (400, "X-Expires-In is no time".to_owned()))?;
                Micros((seconds.min(3_600.0) * 1e6) as u64).min(deadline)
            }
        };
        let weight = 1.0 / shards.len().max(1) as f64;
        Ok(Request {
            token,
            label: format!("q{}", token.0).into(),
            class: self.edge.classes[class].name.as_str().into(),
            tenant: TenantId(0),
            patience,
            sent,
            parts: shards.iter().map(|s| PartOf { shard: s.0, weight, hint: None }).collect(),
            text: text.into_bytes().into(),
        })
    }
}

/// A page begins in some shard: those before it are passed already.
fn from_cursor(shards: Vec<(ShardId, String)>, params: &Params) -> Result<Vec<(ShardId, String)>, Fault> {
    let Some((name, _)) = &params.cursor else { return Ok(shards) };
    let at = shards.iter().position(|s| s.1 == *name);
    let at = at.ok_or_else(|| (400, "cursor names a shard that is not there (any more)".to_owned()))?;
    Ok(shards[at..].to_vec())
}

/// The query for a server: all of the collection's share, in pages of its own.
fn server_query(params: &Params, page_size: usize) -> String {
    let mut query = url::form_urlencoded::Serializer::new(String::new());
    params.passed.iter().for_each(|(name, value)| {
        query.append_pair(name, value);
    });
    query.append_pair("limit", &page_size.to_string());
    query.finish()
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
