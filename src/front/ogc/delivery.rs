//! The last step before a response is sent: conditional requests (RFC 9110, section 13) and
//! compression.

use super::response::problem::problem;
use crate::front::Reaction;
use crate::proto::body::Body;
use crate::proto::http::{HttpRequest, Response};
use flate2::write::GzEncoder;
use flate2::Compression;
use sha2::{Digest, Sha256};
use std::io::Write;

/// The minimum size of a body that is compressed, in bytes. It is about the size of a response's
/// head.
const MIN_GZIP_BYTES: usize = 1_024;
/// The status of the response to a request whose condition is false.
const PRECONDITION_FAILED: u16 = 412;
/// The length of the hash in an entity tag, in bytes.
const TAG_BYTES: usize = 12;
/// The value of `Vary`: the request headers that a response depends on.
const VARY: &str = "Accept, Accept-Encoding, X-Qos";

/// The properties of a request that determine whether and how the body of its response is sent.
#[derive(Debug, Clone, Default)]
pub(super) struct DeliveryOptions {
    accepts_gzip: bool,
    /// The value of `If-None-Match`.
    if_none_match: Option<String>,
    is_get_or_head: bool,
}

impl DeliveryOptions {
    /// Returns the options of a request, from its method and headers.
    pub fn from_request(request: &HttpRequest) -> Self {
        let accept_encoding = request.headers.get("Accept-Encoding").unwrap_or_default();
        DeliveryOptions {
            accepts_gzip: accepts_gzip(accept_encoding),
            if_none_match: request.headers.get("If-None-Match").map(str::to_owned),
            is_get_or_head: matches!(request.method.as_str(), "GET" | "HEAD"),
        }
    }

    /// Applies the options to the response of a reaction. If the reaction submits a request, the
    /// options apply to the response that is rendered from its answer.
    pub fn apply_to(self, reaction: Reaction) -> Reaction {
        match reaction {
            Reaction::Respond(response) => Reaction::Respond(self.apply_to_response(response)),
            Reaction::Submit(request, render) => Reaction::Submit(
                request,
                Box::new(move |answer| self.apply_to(render(answer))),
            ),
        }
    }

    /// Adds an entity tag to a successful response. Then replaces the response with a 304 or 412 if
    /// the client already has this version (RFC 9110, section 13.1.2), and otherwise compresses it
    /// if the client accepts gzip.
    fn apply_to_response(&self, mut response: Response) -> Response {
        if response.status != 200 || response.body.is_empty() {
            return response;
        }
        response.add_header("Vary", VARY);
        let tag = tag_of(&mut response);
        if self.matches(&tag) && !self.is_get_or_head {
            return problem(PRECONDITION_FAILED, "the client has this version");
        }
        if self.matches(&tag) {
            return Response {
                status: 304,
                content_type: "",
                headers: response.headers,
                body: Body::default(),
            };
        }
        if self.accepts_gzip && response.body.len() >= MIN_GZIP_BYTES {
            compress(&mut response);
        }
        response
    }

    /// Returns whether the client has the version with this entity tag, by the weak comparison (RFC
    /// 9110, section 8.8.3.2).
    fn matches(&self, tag: &str) -> bool {
        let opaque = |tag: &str| tag.trim().trim_start_matches("W/").to_owned();
        let matches_one = |listed: &str| listed.trim() == "*" || opaque(listed) == opaque(tag);
        self.if_none_match
            .as_ref()
            .is_some_and(|list| list.split(',').any(matches_one))
    }
}

/// Returns whether the value of an `Accept-Encoding` header allows gzip. `*` stands for all codings
/// that are not listed (RFC 9110, section 12.5.3).
fn accepts_gzip(accept_encoding: &str) -> bool {
    let elements: Vec<AcceptedCoding> = accept_encoding
        .split(',')
        .map(AcceptedCoding::parse)
        .collect();
    let named = elements.iter().find(|element| element.is_gzip());
    let listed = named.or_else(|| elements.iter().find(|element| element.name == "*"));
    listed.is_some_and(|element| !element.excluded)
}

/// An element of an `Accept-Encoding` header.
struct AcceptedCoding<'a> {
    name: &'a str,
    /// Whether the weight is 0, which means that the coding is not acceptable.
    excluded: bool,
}

impl AcceptedCoding<'_> {
    fn parse(element: &str) -> AcceptedCoding<'_> {
        let mut words = element.split(';').map(str::trim);
        let name = words.next().unwrap_or_default();
        let is_zero = |word: &str| {
            let weight = word
                .split_once('=')
                .filter(|(key, _)| key.eq_ignore_ascii_case("q"));
            weight.is_some_and(|(_, weight)| weight.parse() == Ok(0.0))
        };
        AcceptedCoding {
            name,
            excluded: words.any(is_zero),
        }
    }

    fn is_gzip(&self) -> bool {
        ["gzip", "x-gzip"]
            .iter()
            .any(|name| self.name.eq_ignore_ascii_case(name))
    }
}

/// Returns the entity tag of a response. If the response has none, adds one computed from its body.
fn tag_of(response: &mut Response) -> String {
    if let Some(tag) = response.header("ETag") {
        return tag.to_owned();
    }
    let tag = entity_tag(response.body.segments());
    response.add_header("ETag", tag.as_str());
    tag
}

/// Compresses the body of a response at the fastest level, because one thread serves all requests.
fn compress(response: &mut Response) {
    let mut encoder = GzEncoder::new(
        Vec::with_capacity(response.body.len() / 4),
        Compression::fast(),
    );
    let written = response
        .body
        .segments()
        .try_for_each(|segment| encoder.write_all(segment));
    if let (Ok(()), Ok(compressed)) = (written, encoder.finish()) {
        response.body = compressed.into();
        response.add_header("Content-Encoding", "gzip");
    }
}

/// Returns the weak entity tag of a body that consists of these segments.
pub(super) fn entity_tag<'a>(segments: impl Iterator<Item = &'a [u8]>) -> String {
    let mut state = Sha256::new();
    segments.for_each(|segment| state.update(segment));
    let hash = state.finalize();
    let hex: String = hash[..TAG_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("W/\"{hex}\"")
}

#[cfg(test)]
mod tests;
