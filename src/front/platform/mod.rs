//! The platform's protocol: `POST /api` with a query's parts in JSON, and `GET /up`.

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

/// Media type of answers.
const JSON: &str = "application/json";
/// Media type of everything else.
const TEXT: &str = "text/plain; charset=utf-8";

/// Classes and shards that a request may refer to; a reload of the settings replaces them.
#[derive(Debug)]
pub struct PlatformCatalog {
    /// Names of the classes.
    classes: Vec<Arc<str>>,
    /// Number of shards, which are numbered from 0.
    shards: u32,
}

/// Catalog that the front shares with a reload of the settings.
pub type SharedPlatformCatalog = Arc<Mutex<Arc<PlatformCatalog>>>;

impl PlatformCatalog {
    /// Creates the catalog of the settings.
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

/// Front for the platform's protocol.
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

    /// Submits a query, or responds with an error.
    fn query(&self, request: &HttpRequest, token: Token, sent_at: Micros) -> Reaction {
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
                text(400, &format!("{error}\n"))
            }
        }
    }
}

impl Front for Platform {
    fn handle(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction {
        let path = request.target.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET" | "HEAD", "/up") if ready => text(200, "ready\n"),
            ("GET" | "HEAD", "/up") => text(503, "not ready\n"),
            ("POST", "/api") => self.query(&request, token, sent),
            (_, "/up" | "/api") => text(405, "another method is needed\n"),
            _ => text(404, "nothing is here\n"),
        }
    }

    fn malformed_response(&self, error: HttpError) -> Response {
        Response::new(error.status(), TEXT, format!("{error:?}\n"))
    }
}

/// Creates a response of plain text.
fn text(status: u16, text: &str) -> Reaction {
    Reaction::Respond(Response::new(status, TEXT, text))
}

#[cfg(test)]
mod tests;
