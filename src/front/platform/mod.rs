//! The platform front, which serves queries (`POST /api` with a JSON body) and readiness checks
//! (`GET /up`).

mod error;
mod request;
mod response;

pub use error::RequestError;

use super::{Front, Reaction};
use crate::coordinator::{Token, COUNTERS};
use crate::proto::http::{HttpError, HttpRequest, Response};
use crate::settings::CoordinatorSettings;
use crate::time::Micros;
use std::sync::{Arc, Mutex, PoisonError};

/// The media type of answers.
const JSON: &str = "application/json";
/// The media type of all other responses.
const TEXT: &str = "text/plain; charset=utf-8";

/// The classes and shards that a request may refer to. A reload of the settings replaces them.
#[derive(Debug)]
pub struct PlatformCatalog {
    /// The names of the classes.
    classes: Vec<Arc<str>>,
    /// The number of shards, which are numbered from 0.
    shards: u32,
}

/// The catalog that the front reads and a reload of the settings replaces.
pub type SharedPlatformCatalog = Arc<Mutex<Arc<PlatformCatalog>>>;

impl PlatformCatalog {
    /// Creates the catalog for these settings.
    #[must_use]
    pub fn new(settings: &CoordinatorSettings) -> Arc<Self> {
        let policy = &settings.policy;
        let classes = policy
            .classes
            .iter()
            .map(|class| class.name.as_str().into())
            .collect();
        Arc::new(PlatformCatalog {
            classes,
            shards: policy.shards,
        })
    }
}

/// The front for the platform's protocol.
#[derive(Debug)]
pub struct Platform {
    catalog: SharedPlatformCatalog,
}

impl Platform {
    /// Creates a front for requests that refer to `catalog`.
    #[must_use]
    pub fn new(catalog: SharedPlatformCatalog) -> Self {
        Platform { catalog }
    }

    /// Submits a query to the coordinator, or responds with an error if the request is malformed.
    fn handle_query(&self, request: &HttpRequest, token: Token, sent_at: Micros) -> Reaction {
        let catalog = self
            .catalog
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match request::parse(&catalog, request, token, sent_at) {
            Ok(request) => Reaction::Submit(
                request,
                Box::new(|answer| Reaction::Respond(response::render(answer))),
            ),
            Err(error) => {
                COUNTERS.bad_requests.increment();
                respond_text(400, &format!("{error}\n"))
            }
        }
    }
}

impl Front for Platform {
    fn handle(&self, request: HttpRequest, token: Token, sent_at: Micros, ready: bool) -> Reaction {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET" | "HEAD", "/up") if ready => respond_text(200, "ready\n"),
            ("GET" | "HEAD", "/up") => respond_text(503, "not ready\n"),
            ("POST", "/api") => self.handle_query(&request, token, sent_at),
            (_, "/up" | "/api") => respond_text(405, "another method is needed\n"),
            _ => respond_text(404, "nothing is here\n"),
        }
    }

    fn malformed_response(&self, error: HttpError) -> Response {
        Response::new(error.status(), TEXT, format!("{error:?}\n"))
    }
}

/// Responds with plain text.
fn respond_text(status: u16, text: &str) -> Reaction {
    Reaction::Respond(Response::new(status, TEXT, text))
}

#[cfg(test)]
mod tests;
