//! One request to a feature server and its response: one attempt at a part.

use super::http::{Headers, ResponseReader};
use crate::interface::Outcome;

/// A response that came whole.
#[derive(Debug)]
pub struct FetchedResponse {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
}

/// How far a fetch is.
#[derive(Debug)]
pub enum Progress {
    /// Something is still to come.
    Pending,
    /// The response is here whole.
    Complete(FetchedResponse),
    /// It ended otherwise.
    Failed(Outcome),
}

/// A request under way.
#[derive(Debug)]
pub struct Fetch {
    /// Where reads go.
    pub reader: ResponseReader,
    request: Vec<u8>,
    written: usize,
}

impl Fetch {
    /// A fetch of this request, whose response has at most so many bytes of body.
    pub fn new(request: Vec<u8>, most_body: usize) -> Self {
        Fetch { reader: ResponseReader::new(most_body), request, written: 0 }
    }

    /// Bytes to write.
    pub fn output(&self) -> &[u8] {
        &self.request[self.written..]
    }

    /// So many of them were written; true: that was the last byte, from here on it may run.
    pub fn record_written(&mut self, n: usize) -> bool {
        self.written += n;
        n > 0 && self.output().is_empty()
    }

    /// No byte of it is written yet.
    pub fn is_unstarted(&self) -> bool {
        self.written == 0
    }

    /// The server has got the whole request: it may have run.
    pub fn may_have_run(&self) -> bool {
        self.output().is_empty()
    }

    /// Takes in what was read.
    pub fn advance(&mut self) -> Progress {
        match self.reader.advance() {
            Err(_) => Progress::Failed(Outcome::Error),
            Ok(false) => Progress::Pending,
            Ok(true) => self.came(),
        }
    }

    /// The connection has ended in good order: a response without a length ends so.
    pub fn on_end_of_stream(&mut self) -> Progress {
        if self.reader.end() {
            return self.came();
        }
        self.on_broken()
    }

    /// The connection broke, or never came up.
    pub fn on_broken(&mut self) -> Progress {
        Progress::Failed(if self.may_have_run() { Outcome::Reset } else { Outcome::ConnectFailed })
    }

    fn came(&mut self) -> Progress {
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

    /// The connection can carry another request after this one.
    pub fn reusable(&self) -> bool {
        self.output().is_empty()
            && self.reader.head().is_some_and(|h| h.reusable)
            && self.reader.input.data().is_empty()
    }
}

#[cfg(test)]
mod tests;
