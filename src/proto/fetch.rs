//! One request to a feature server and its response, which is one attempt at a part.

use super::http::{Headers, ResponseReader};
use crate::interface::Outcome;

/// A complete response.
#[derive(Debug)]
pub struct FetchedResponse {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// How far a fetch has got.
#[derive(Debug)]
pub enum Progress {
    /// The response is not complete yet.
    Pending,
    /// The response is complete.
    Complete(FetchedResponse),
    /// The fetch failed.
    Failed(Outcome),
}

impl Progress {
    /// Whether the response is still to come.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        matches!(self, Progress::Pending)
    }
}

/// A request in flight. It is fed what was read and yields what is to be written.
#[derive(Debug)]
pub struct Fetch {
    /// Reads the response as it arrives.
    pub reader: ResponseReader,
    request: Vec<u8>,
    written: usize,
}

impl Fetch {
    /// A fetch with this request, whose response has a body of at most `max_body` bytes.
    #[must_use]
    pub fn new(request: Vec<u8>, max_body: usize) -> Self {
        Fetch {
            reader: ResponseReader::new(max_body),
            request,
            written: 0,
        }
    }

    /// The bytes to write next.
    #[must_use]
    pub fn output(&self) -> &[u8] {
        &self.request[self.written..]
    }

    /// Notes how many bytes of [`Fetch::output`] were written; true: these include the last one, and the request may run from
    /// now on.
    pub fn record_written(&mut self, bytes: usize) -> bool {
        self.written += bytes;
        bytes > 0 && self.output().is_empty()
    }

    /// Whether no byte of the request is written yet.
    #[must_use]
    pub fn is_unstarted(&self) -> bool {
        self.written == 0
    }

    /// Whether the server has the complete request, so that it may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.output().is_empty()
    }

    /// Processes what was read.
    pub fn advance(&mut self) -> Progress {
        match self.reader.advance() {
            Err(_) => Progress::Failed(Outcome::Error),
            Ok(false) => Progress::Pending,
            Ok(true) => self.take_response(),
        }
    }

    /// The server closed the connection in good order: this completes a response without a length.
    pub fn on_end_of_stream(&mut self) -> Progress {
        if self.reader.end_of_input() {
            return self.take_response();
        }
        self.on_broken()
    }

    /// The connection broke, or was never established.
    pub fn on_broken(&mut self) -> Progress {
        Progress::Failed(if self.may_have_run() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        })
    }

    fn take_response(&mut self) -> Progress {
        let body = std::mem::take(&mut self.reader.body);
        match self.reader.head() {
            Some(head) => Progress::Complete(FetchedResponse {
                status: head.status,
                headers: head.headers.clone(),
                body,
            }),
            None => Progress::Failed(Outcome::Error),
        }
    }

    /// Whether the connection can carry another request after this one.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.output().is_empty()
            && self.reader.head().is_some_and(|head| head.reusable)
            && self.reader.input.data().is_empty()
    }
}

#[cfg(test)]
mod tests;
