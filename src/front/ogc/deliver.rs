//! The last step of every answer: what its client has already is not sent again, and what can be made small is.

use crate::front::Reaction;
use crate::proto::body::Body;
use crate::proto::http::{HttpRequest, Response};
use flate2::write::GzEncoder;
use flate2::Compression;
use std::io::Write;

/// Smaller bodies are sent as they are: the head alone is as large.
const MIN_GZIP: usize = 1_024;

/// What a client said of how it wants its answer.
#[derive(Debug, Clone, Default)]
pub(super) struct Manner {
    gzip: bool,
    has: Option<String>,
}

impl Manner {
    /// By a request's head.
    pub fn of(request: &HttpRequest) -> Self {
        let accept = request.headers.get("Accept-Encoding").unwrap_or_default();
        let fits = |range: &str| {
            let mut words = range.split(';').map(str::trim);
            let named = matches!(words.next(), Some("gzip" | "x-gzip" | "*"));
            let refused = words.any(|w| w.strip_prefix("q=").is_some_and(|q| q.parse() == Ok(0.0)));
            named && !refused
        };
        let has = request.headers.get("If-None-Match").map(str::to_owned);
        Manner { gzip: accept.split(',').any(fits), has }
    }

    /// The client has this version.
    fn has(&self, tag: &str) -> bool {
        let weak = |t: &str| t.trim().trim_start_matches("W/").to_owned();
        self.has.as_ref().is_some_and(|list| list.split(',').any(|t| t.trim() == "*" || weak(t) == weak(tag)))
    }

    /// Sends a reaction's answer so, at once or when it comes.
    pub fn wrap(self, reaction: Reaction) -> Reaction {
        match reaction {
            Reaction::Respond(response) => Reaction::Respond(self.deliver(response)),
            Reaction::Submit(request, render) => {
                Reaction::Submit(request, Box::new(move |answer| self.wrap(render(answer))))
            }
        }
    }

    fn deliver(&self, mut response: Response) -> Response {
        if response.status != 200 || response.body.is_empty() {
            return response;
        }
        response.headers.push(("Vary", "Accept, Accept-Encoding, X-Qos".to_owned()));
        let named = |r: &Response| r.headers.iter().find(|h| h.0 == "ETag").map(|h| h.1.clone());
        let tag = named(&response).unwrap_or_else(|| {
            let tag = tag(response.body.chunks());
            response.headers.push(("ETag", tag.clone()));
            tag
        });
        if self.has(&tag) {
            return Response {
                status: 304,
                content_type: "",
                headers: response.headers,
                body: Body::default(),
            };
        }
        if self.gzip && response.body.len() >= MIN_GZIP {
            // Fast, not small: one worker serves all.
            let mut small = GzEncoder::new(Vec::with_capacity(response.body.len() / 4), Compression::fast());
            let whole = response.body.chunks().try_for_each(|c| small.write_all(c));
            if let (Ok(()), Ok(small)) = (whole, small.finish()) {
                response.body = small.into();
                response.headers.push(("Content-Encoding", "gzip".to_owned()));
            }
        }
        response
    }
}

/// A weak tag of these bytes.
pub(super) fn tag<'a>(chunks: impl Iterator<Item = &'a [u8]>) -> String {
    use sha2::{Digest, Sha256};
    let mut state = Sha256::new();
    chunks.for_each(|c| state.update(c));
    let hash = state.finalize();
    let hex: String = hash[..12].iter().map(|b| format!("{b:02x}")).collect();
    format!("W/\"{hex}\"")
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;

    fn manner(head: &str) -> Manner {
        let mut server = crate::proto::http::ServerConnection::default();
        server.input().extend(format!("GET / HTTP/1.1\r\n{head}\r\n").as_bytes());
        Manner::of(&server.next_request().expect("whole").expect("well formed"))
    }

    fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
        response.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    #[test]
    fn what_a_client_has_is_not_sent_and_what_is_large_is_made_small() {
        let text = "device ".repeat(500);
        let plain = manner("").deliver(Response::new(200, "text/plain", text.as_str()));
        let tag = header(&plain, "ETag").expect("a tag").to_owned();
        assert_eq!((plain.body.len(), header(&plain, "Content-Encoding")), (text.len(), None));
        let small = manner("Accept-Encoding: br, gzip;q=0.5\r\n").deliver(Response::new(
            200,
            "text/plain",
            text.as_str(),
        ));
        let mut back = String::new();
        flate2::read::GzDecoder::new(small.body.to_vec().as_slice()).read_to_string(&mut back).expect("gzip");
        assert_eq!((back.as_str(), header(&small, "ETag")), (text.as_str(), Some(tag.as_str())));
        for has in [tag.clone(), format!("\"x\", {}", &tag[2..]), "*".to_owned()] {
            let known = manner(&format!("If-None-Match: {has}\r\n")).deliver(Response::new(
                200,
                "text/plain",
                text.as_str(),
            ));
            assert_eq!(
                (known.status, known.body.len(), header(&known, "ETag")),
                (304, 0, Some(tag.as_str()))
            );
        }
        let other = manner("If-None-Match: \"x\"\r\nAccept-Encoding: gzip;q=0\r\n").deliver(Response::new(
            200,
            "",
            text.as_str(),
        ));
        assert_eq!((other.status, header(&other, "Content-Encoding")), (200, None));
        let error = manner("Accept-Encoding: gzip\r\n").deliver(Response::new(503, "", text.as_str()));
        assert_eq!((error.body.len(), header(&error, "ETag")), (text.len(), None));
    }
}
