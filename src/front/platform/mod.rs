//! The platform's protocol: `POST /api` with a query's parts in JSON, and `GET /up`.

use super::{Front, Reaction};
use crate::coordinator::{Answer, PartRequest, Request, ServedPart, Token, COUNTERS};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::{HttpError, HttpRequest, Response};
use crate::settings::CoordinatorSettings;
use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
/// Longest id of a query: it is repeated in every frame.
const MAX_ID: usize = 128;
/// Longest time a client may state; anything longer is as good as this.
const MAX_PATIENCE_S: f64 = 3_600.0;
/// Shares are rounded: together they may miss 1 by so much.
const MAX_ROUNDING: f64 = 1e-3;

#[derive(Deserialize)]
struct Query {
    tablets: Vec<Tablet>,
    statement: String,
}

#[derive(Deserialize)]
struct Tablet {
    tablet: u32,
    fraction: f64,
    guess: Option<f64>,
}

#[derive(Serialize)]
struct Served<'a> {
    full: bool,
    pieces: Vec<Piece<'a>>,
}

#[derive(Serialize)]
struct Piece<'a> {
    tablet: u32,
    cell: std::borrow::Cow<'a, str>,
}

/// The front for the platform's protocol.
#[derive(Debug)]
pub struct Platform {
    named: SharedNamed,
}

/// What a request may name; a reload changes it.
#[derive(Debug)]
pub struct Named {
    classes: Vec<Arc<str>>,
    shards: u32,
}

/// The same as the front and a reload share it.
pub type SharedNamed = Arc<Mutex<Arc<Named>>>;

impl Named {
    /// By these settings.
    pub fn new(deployment: &CoordinatorSettings) -> Arc<Self> {
        let module = &deployment.policy;
        let classes = module.classes.iter().map(|c| c.name.as_str().into()).collect();
        Arc::new(Named { classes, shards: module.shards })
    }
}

impl Platform {
    /// A front for what may be named now.
    pub fn new(named: SharedNamed) -> Self {
        Platform { named }
    }

    fn query(&self, request: &HttpRequest, token: Token, sent: Micros) -> Result<Request, String> {
        let named = self.named.lock().unwrap_or_else(|e| e.into_inner()).clone();
        let header = |name| request.headers.get(name).ok_or_else(|| format!("{name} is missing"));
        let label = header("X-Trace-Id")?;
        if label.is_empty() || label.len() > MAX_ID || !label.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("X-Trace-Id is no id".to_owned());
        }
        let name = header("X-Qos")?;
        let class = named.classes.iter().find(|c| &***c == name).ok_or("X-Qos names no class")?.clone();
        let seconds = header("X-Expires-In")?.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
        let seconds = seconds.ok_or("X-Expires-In is no time")?.min(MAX_PATIENCE_S);
        let patience = Micros((seconds * 1e6) as u64);
        let query: Query = serde_json::from_slice(&request.body).map_err(|e| format!("body: {e}"))?;
        let mut parts: Vec<PartRequest> = Vec::with_capacity(query.tablets.len());
        for t in query.tablets {
            let weight =
                Some(t.fraction).filter(|w| w.is_finite() && *w >= 0.0).ok_or("a fraction is no share")?;
            if t.tablet >= named.shards {
                return Err(format!("tablet {} is none", t.tablet));
            }
            if parts.iter().any(|p| p.shard.0 == t.tablet) {
                return Err(format!("tablet {} is named twice", t.tablet));
            }
            let hint = t.guess.filter(|g| g.is_finite() && *g >= 0.0).map(|g| Micros(g as u64));
            parts.push(PartRequest { shard: ShardId(t.tablet), weight, expected_work: hint, context: None });
        }
        if parts.is_empty() {
            return Err("no tablets".to_owned());
        }
        // Shares that do not add up would let an answer pass for whole that is not.
        if (parts.iter().map(|p| p.weight).sum::<f64>() - 1.0).abs() > MAX_ROUNDING {
            return Err("the fractions do not add up to 1".to_owned());
        }
        Ok(Request {
            token,
            request_id: label.into(),
            class,
            tenant: TenantId(0),
            timeout: patience,
            sent_at: sent,
            parts,
            payload: query.statement.into_bytes().into(),
            counted: true,
        })
    }
}

impl Front for Platform {
    fn handle(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction {
        let path = request.target.split('?').next().unwrap_or_default();
        let respond = |status, text: &str| Reaction::Respond(Response::new(status, TEXT, text));
        match (request.method.as_str(), path) {
            ("GET" | "HEAD", "/up") if ready => respond(200, "ready\n"),
            ("GET" | "HEAD", "/up") => respond(503, "not ready\n"),
            ("POST", "/api") => match self.query(&request, token, sent) {
                Ok(request) => {
                    Reaction::Submit(request, Box::new(|answer| Reaction::Respond(render(answer))))
                }
                Err(why) => {
                    COUNTERS.bad_requests.increment();
                    respond(400, &format!("{why}\n"))
                }
            },
            (_, "/up" | "/api") => respond(405, "another method is needed\n"),
            _ => respond(404, "nothing is here\n"),
        }
    }

    fn malformed_response(&self, error: HttpError) -> Response {
        Response::new(error.status(), TEXT, format!("{error:?}\n"))
    }
}

/// Seconds with decimals, as `Retry-After` may have them here.
fn seconds(time: Micros) -> String {
    format!("{}.{:03}", time.0 / 1_000_000, time.0 / 1_000 % 1_000)
}

/// An answered part as it stands in the body.
fn piece(part: &ServedPart) -> Piece<'_> {
    Piece { tablet: part.shard.0, cell: String::from_utf8_lossy(&part.value) }
}

fn render(answer: Answer) -> Response {
    match answer {
        Answer::Served { complete: whole, parts } => {
            let body = Served { full: whole, pieces: parts.iter().map(piece).collect() };
            match serde_json::to_vec(&body) {
                Ok(body) => Response::new(200, JSON, body),
                Err(e) => Response::new(500, TEXT, format!("{e}\n")),
            }
        }
        Answer::Rejected { retry_after: come_back, .. } => {
            let mut response = Response::new(503, TEXT, "refused: ask again\n");
            response.headers.extend(come_back.map(|t| ("Retry-After", seconds(t))));
            response
        }
        Answer::UnknownClass => Response::new(400, TEXT, "X-Qos names no class\n"),
        Answer::DuplicateRequestId => Response::new(409, TEXT, "X-Trace-Id is that of an open request\n"),
        Answer::Failed { late: true } => Response::new(504, TEXT, "out of time\n"),
        Answer::Failed { late: false } => Response::new(502, TEXT, "failed\n"),
    }
}
