//! The fronts: each parses its protocol's requests, maps them to the core's, and renders the core's answers.

pub mod ogc;
pub mod platform;

use crate::coordinator::{Answer, Request, Token};
use crate::proto::http::{HttpError, HttpRequest, Response, MAX_BODY};
use crate::time::Micros;

/// How a core's answer becomes a response, or another question to the core where one round is not enough.
pub type Render = Box<dyn FnOnce(Answer) -> Reaction + Send>;

/// What becomes of a request.
pub enum Reaction {
    /// It is answered at once.
    Respond(Response),
    /// It goes to the core, and its answer is rendered by this.
    Submit(Request, Render),
}

/// A front.
pub trait Front: Send + Sync {
    /// Takes a request that came whole. `sent`: when its client sent it, as near as can be told; `ready`: the
    /// program is ready to serve.
    fn handle(&self, request: HttpRequest, token: Token, sent: Micros, ready: bool) -> Reaction;

    /// The response to what could not be read.
    fn malformed_response(&self, error: HttpError) -> Response;

    /// Most bytes of a request's body.
    fn max_body(&self) -> usize {
        MAX_BODY
    }

    /// Stack of the coroutine that serves a connection, in words of eight bytes. Only touched pages count as memory.
    /// Measured over the tests of the platform's front in a release build: 722 words at most; debug builds need several
    /// times that.
    fn stack_words(&self) -> usize {
        0x4000
    }
}
