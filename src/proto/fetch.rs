//! One request to a feature server and its response: one attempt at a part.

use super::http::{Headers, ResponseReader};
use crate::interface::Outcome;

/// A response that came whole.
#[derive(Debug)]
pub struct Fetched {
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
    On,
    /// The response is here whole.
    Came(Fetched),
    /// It ended otherwise.
    Broke(Outcome),
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
    pub fn wrote(&mut self, n: usize) -> bool {
        self.written += n;
        n > 0 && self.output().is_empty()
    }

    /// No byte of it is written yet.
    pub fn not_begun(&self) -> bool {
        self.written == 0
    }

    /// The server has got the whole request: it may have run.
    pub fn may_have_run(&self) -> bool {
        self.output().is_empty()
    }

    /// Takes in what was read.
    pub fn advance(&mut self) -> Progress {
        match self.reader.advance() {
            Err(_) => Progress::Broke(Outcome::Error),
            Ok(false) => Progress::On,
            Ok(true) => self.came(),
        }
    }

    /// The connection has ended in good order: a response without a length ends so.
    pub fn ended(&mut self) -> Progress {
        if self.reader.end_of_input() {
            return self.came();
        }
        self.broken()
    }

    /// The connection broke, or never came up.
    pub fn broken(&mut self) -> Progress {
        Progress::Broke(if self.may_have_run() { Outcome::Reset } else { Outcome::ConnectFailed })
    }

    fn came(&mut self) -> Progress {
        let body = std::mem::take(&mut self.reader.body);
        match self.reader.head() {
            Some(head) => {
                Progress::Came(Fetched { status: head.status, headers: head.headers.clone(), body })
            }
            None => Progress::Broke(Outcome::Error),
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
mod tests {
    use super::*;

    #[test]
    fn a_response_without_a_length_ends_with_its_connection_and_not_with_a_reset() {
        for (reset, head) in
            [(false, ""), (true, ""), (false, "Content-Length: 9\r\n"), (true, "Content-Length: 9\r\n")]
        {
            let mut fetch = Fetch::new(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 100);
            fetch.wrote(18);
            fetch.reader.input.extend(format!("HTTP/1.1 200 OK\r\n{head}\r\n{{}}").as_bytes());
            assert!(matches!(fetch.advance(), Progress::On));
            let whole = matches!(if reset { fetch.broken() } else { fetch.ended() }, Progress::Came(_));
            assert_eq!(whole, !reset && head.is_empty());
        }
    }
}
