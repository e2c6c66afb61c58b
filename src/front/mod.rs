//! Client protocols: parsing of requests, their mapping to requests to the core, and rendering of
//! the core's answers as responses.
//!
//! Sockets and connections belong to [`crate::net`], the execution of requests to
//! [`crate::coordinator`].

pub mod ogc;
pub mod platform;

use crate::coordinator::{Answer, Request, Token};
use crate::proto::http::{HttpError, HttpRequest, Response, MAX_BODY_BYTES};
use crate::time::Micros;

/// Turns the core's answer into a response, or into another request to the core where one round is
/// not enough.
pub type Render = Box<dyn FnOnce(Answer) -> Reaction + Send>;

/// Outcome of a client's request.
pub enum Reaction {
    /// The client gets this response at once.
    Respond(Response),
    /// The request goes to the core, and the function renders the core's answer.
    Submit(Request, Render),
}

/// A protocol that clients speak.
pub trait Front: Send + Sync {
    /// Handles a request that was received completely.
    ///
    /// `sent` is the time at which its client sent it, as near as can be known; `ready` tells
    /// whether the program is ready to serve.
    fn handle(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction;

    /// Returns the response to a request that could not be parsed.
    fn malformed_response(&self, error: HttpError) -> Response;

    /// Returns the largest accepted body of a request, in bytes.
    fn max_body(&self) -> usize {
        MAX_BODY_BYTES
    }

    /// Returns the stack size of the coroutine that serves a connection, in words of eight bytes.
    ///
    /// Only touched pages count as memory. A debug build needs several times the stack of a release
    /// build.
    fn stack_words(&self) -> usize {
        0x4000
    }
}
