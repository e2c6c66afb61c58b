//! The fronts: each parses the requests of its protocol, maps them to requests to the core, and renders the core's
//! answers as responses.

pub mod ogc;
pub mod platform;

use crate::coordinator::{Answer, Request, Token};
use crate::proto::http::{HttpError, HttpRequest, Response, MAX_BODY_BYTES};
use crate::time::Micros;

/// Turns the core's answer into a response, or into another request to the core where one round is not enough.
pub type Render = Box<dyn FnOnce(Answer) -> Reaction + Send>;

/// What a front makes of a client's request.
pub enum Reaction {
    /// The client gets this response at once.
    Respond(Response),
    /// The request goes to the core, and the function renders the core's answer.
    Submit(Request, Render),
}

/// A protocol that clients speak.
pub trait Front: Send + Sync {
    /// Handles a request that was received completely. `sent`: when its client sent it, as near as can be known;
    /// `ready`: the program is ready to serve.
    fn handle(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction;

    /// The response to a request that could not be parsed.
    fn malformed_response(&self, error: HttpError) -> Response;

    /// Most bytes of a request's body.
    fn max_body(&self) -> usize {
        MAX_BODY_BYTES
    }

    /// Stack size of the coroutine that serves a connection, in words of eight bytes. Only touched pages count as memory.
    /// The tests of the platform's front use at most 722 words in a release build; debug builds need several times that.
    fn stack_words(&self) -> usize {
        0x4000
    }
}
