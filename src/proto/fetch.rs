//! A fetch: one HTTP request to a feature server and its response. Each attempt at a part of a
//! feature query is one fetch. The driver in `net::feature_client` owns the connection.

use super::http::{Headers, ResponseReader};
use crate::interface::Outcome;

/// A complete response.
#[derive(Debug)]
pub struct FetchedResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// The progress of a fetch.
#[derive(Debug)]
pub enum Progress {
    /// The response is not complete yet.
    Pending,
    /// The response is complete.
    Complete(FetchedResponse),
    /// The fetch failed with this outcome.
    Failed(Outcome),
}

impl Progress {
    /// Returns whether the response is not complete yet.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        matches!(self, Progress::Pending)
    }
}

/// A request in flight, without its connection: received bytes go in, bytes to write come out.
#[derive(Debug)]
pub struct Fetch {
    /// The reader of the response.
    pub reader: ResponseReader,
    request: Vec<u8>,
    /// The number of bytes of the request that have been written.
    written: usize,
}

impl Fetch {
    /// Creates a fetch with an encoded request and a response body of at most `max_body` bytes.
    #[must_use]
    pub fn new(request: Vec<u8>, max_body: usize) -> Self {
        Fetch {
            reader: ResponseReader::new(max_body),
            request,
            written: 0,
        }
    }

    /// Returns the bytes to write next.
    #[must_use]
    pub fn output(&self) -> &[u8] {
        &self.request[self.written..]
    }

    /// Records that `bytes` bytes of [`Fetch::output`] were written. Returns whether they included
    /// the last byte of the request, after which the server may run it.
    pub fn record_written(&mut self, bytes: usize) -> bool {
        self.written += bytes;
        bytes > 0 && self.output().is_empty()
    }

    /// Returns whether no byte of the request has been written.
    #[must_use]
    pub fn is_unstarted(&self) -> bool {
        self.written == 0
    }

    /// Returns whether the complete request was written, so that the server may have run it.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.output().is_empty()
    }

    /// Processes the input in the reader's buffer, and returns the progress of the fetch.
    pub fn advance(&mut self) -> Progress {
        match self.reader.advance() {
            Err(_) => Progress::Failed(Outcome::Error),
            Ok(false) => Progress::Pending,
            Ok(true) => self.take_response(),
        }
    }

    /// Handles an orderly close by the server, which completes a response without a length.
    pub fn on_end_of_stream(&mut self) -> Progress {
        if self.reader.on_end_of_stream() {
            return self.take_response();
        }
        self.on_connection_failed()
    }

    /// Handles a connection that failed or could not be established.
    pub fn on_connection_failed(&mut self) -> Progress {
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

    /// Returns whether the connection can carry another request after this one.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        self.output().is_empty()
            && self.reader.head().is_some_and(|head| head.reusable)
            && self.reader.input.data().is_empty()
    }
}

#[cfg(test)]
mod tests;
