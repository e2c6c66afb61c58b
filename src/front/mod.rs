//! Client protocols: parsing of HTTP requests, their mapping to requests to the coordinator, and
//! rendering of the coordinator's answers as HTTP responses.
//!
//! Sockets and connections belong to [`crate::net`], the execution of requests to
//! [`crate::coordinator`].

pub mod ogc;
pub mod platform;

use crate::coordinator::{Answer, Request, Token};
use crate::proto::http::{HttpError, HttpRequest, Response, MAX_BODY_BYTES};
use crate::time::Micros;

/// Turns the coordinator's answer into a response, or into another request to the coordinator if
/// the query needs another round.
pub type Render = Box<dyn FnOnce(Answer) -> Reaction + Send>;

/// The result of handling a client's request.
pub enum Reaction {
    /// This response is sent to the client.
    Respond(Response),
    /// This request is submitted to the coordinator, and the function renders its answer.
    Submit(Request, Render),
}

/// A protocol that clients speak.
pub trait Front: Send + Sync {
    /// Handles a request that was received completely.
    ///
    /// `sent_at` is the estimated time at which the client sent the request; `ready` is whether
    /// the coordinator is ready to serve.
    fn handle(&self, request: HttpRequest, token: Token, sent_at: Micros, ready: bool) -> Reaction;

    /// Returns the response to a request that could not be parsed or was not received in time.
    fn malformed_response(&self, error: HttpError) -> Response;

    /// Returns the maximum length of a request's body, in bytes.
    fn max_body(&self) -> usize {
        MAX_BODY_BYTES
    }

    /// Returns the stack size of the coroutine that serves a connection, in words of eight bytes.
    ///
    /// Only the pages of a stack that are touched occupy memory. A debug build needs several times
    /// the stack of a release build.
    fn stack_words(&self) -> usize {
        0x4000
    }
}
