//! Cursors. A cursor is the position at which the next response of a query starts. Clients receive
//! it as a token, which they send back with the next request. A token is opaque to clients, bound
//! to its query, and authenticated, so that only tokens issued by this service are accepted.
//!
//! A token is the base64url form of a version byte, the fields as JSON, and the first 16 bytes of
//! the HMAC-SHA-256 (RFC 2104) over both.

use super::stable_hash::stable_hash;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize, Serializer};
use sha2::Sha256;

/// The version of the serialized fields. A token with another version counts as expired.
const VERSION: u8 = 1;
/// The length of the authentication code at the end of a token, in bytes.
const CODE_BYTES: usize = 16;
/// The maximum length of a token, in characters. The largest part of a token is a server's link.
const MAX_TOKEN_CHARS: usize = 8 * 1024;

/// The start of the next response of a query. The serialized names are part of the tokens that
/// clients hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The hash of the query that the cursor continues.
    #[serde(rename = "q")]
    pub query_hash: u64,
    /// The Unix time of the query's first response, in seconds, from which the age of the cursor is
    /// counted.
    #[serde(rename = "a")]
    pub issued_at_s: u64,
    /// The name of the shard's collection at its servers.
    #[serde(rename = "s")]
    pub shard: String,
    /// The number of features of the page to skip because earlier responses returned them.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub skip: usize,
    /// The link to the page within the shard; `None` for its first page.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub link: Option<CursorLink>,
    /// The first page of the shard if some of its features are skipped; `None` otherwise.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub first_page: Option<CursorFirstPage>,
    /// Whether the front evaluates a part of the filter on the features of this shard.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub filtered_locally: bool,
    /// The values of the sort keys of the last feature, followed by its identifier; `None` unless
    /// the response is sorted. `shard` is then the shard of that feature.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub after_values: Option<Vec<serde_json::Value>>,
    /// The number of responses so far.
    #[serde(rename = "n", default)]
    pub response_count: u32,
    /// The hash of an earlier position, for the detection of cycles (see
    /// [`Cursor::advanced_from`]).
    #[serde(rename = "m", default)]
    pub link_checkpoint: u64,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

/// The `next` link of a server's page. It is serialized as an array of its fields.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, String, usize)")]
pub struct CursorLink {
    /// The name of the server.
    pub server: String,
    /// The path and query of the link.
    pub target: String,
    /// The number of features in a page that the link leads to.
    pub page_size: usize,
}

/// The first page of a shard, of which earlier responses returned some features. It is serialized as
/// an array of its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, usize, u64)", into = "(String, usize, u64)")]
pub struct CursorFirstPage {
    /// The name of the server that returned the page.
    pub server: String,
    /// The number of features that were requested.
    pub page_size: usize,
    /// The hash of the path and query of the request. The order of the features may depend on them.
    pub target_hash: u64,
}

impl From<(String, usize, u64)> for CursorFirstPage {
    fn from((server, page_size, target_hash): (String, usize, u64)) -> Self {
        CursorFirstPage {
            server,
            page_size,
            target_hash,
        }
    }
}

impl From<CursorFirstPage> for (String, usize, u64) {
    fn from(page: CursorFirstPage) -> Self {
        (page.server, page.page_size, page.target_hash)
    }
}

impl CursorLink {
    fn as_tuple(&self) -> (&str, &str, usize) {
        (&self.server, &self.target, self.page_size)
    }
}

impl From<(String, String, usize)> for CursorLink {
    fn from((server, target, page_size): (String, String, usize)) -> Self {
        CursorLink {
            server,
            target,
            page_size,
        }
    }
}

impl Serialize for CursorLink {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.as_tuple().serialize(serializer)
    }
}

/// The reason why a cursor cannot be used. The messages are sent to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CursorError {
    /// The token was not signed with this key or was altered.
    #[error("cursor: it was not made by this service, or was altered")]
    NotAuthentic,
    /// The cursor belongs to another query.
    #[error("cursor: it belongs to another query")]
    WrongQuery,
    /// The cursor is too old, or the version of its token is not supported.
    #[error("cursor: it is too old; begin anew without it")]
    Expired,
    /// The `next` links of the server lead back to an earlier page.
    #[error("the server's pages go in a circle")]
    LinkCycle,
}

/// The key that authenticates tokens.
#[derive(Clone)]
pub struct CursorKey(Hmac<Sha256>);

impl std::fmt::Debug for CursorKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CursorKey")
    }
}

impl CursorKey {
    /// Creates a key from bytes of any length.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        // HMAC accepts keys of any length, so this never fails.
        let mac = Hmac::<Sha256>::new_from_slice(bytes);
        CursorKey(mac.unwrap_or_else(|_| Hmac::new(&Default::default())))
    }

    /// Returns the token of a cursor.
    #[must_use]
    pub fn sign(&self, cursor: &Cursor) -> String {
        let mut bytes = vec![VERSION];
        bytes.extend(serde_json::to_vec(cursor).unwrap_or_default());
        let code = self.authentication_code(&bytes);
        bytes.extend(code);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies a token and returns its cursor. `query_hash` is the hash of the query that the
    /// client sent the token with, `now_s` the Unix time and `max_age_s` the maximum age, both in
    /// seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the token was not signed with this key, belongs to another query, or is
    /// too old.
    pub fn verify(
        &self,
        token: &str,
        query_hash: u64,
        now_s: u64,
        max_age_s: u64,
    ) -> Result<Cursor, CursorError> {
        if token.len() > MAX_TOKEN_CHARS {
            return Err(CursorError::NotAuthentic);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(token)
            .map_err(|_| CursorError::NotAuthentic)?;
        let authenticated = self.verified(&bytes)?;
        let (version, fields) = authenticated
            .split_first()
            .ok_or(CursorError::NotAuthentic)?;
        if *version != VERSION {
            return Err(CursorError::Expired);
        }
        let cursor: Cursor = serde_json::from_slice(fields).map_err(|_| CursorError::Expired)?;
        if cursor.query_hash != query_hash {
            return Err(CursorError::WrongQuery);
        }
        if now_s.saturating_sub(cursor.issued_at_s) > max_age_s {
            return Err(CursorError::Expired);
        }
        Ok(cursor)
    }

    /// Returns the authentication code of these bytes: the first bytes of their HMAC.
    fn authentication_code(&self, bytes: &[u8]) -> [u8; CODE_BYTES] {
        let full = self.0.clone().chain_update(bytes).finalize().into_bytes();
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&full[..CODE_BYTES]);
        code
    }

    /// Returns the bytes before the authentication code if the code is valid. The comparison takes
    /// constant time, so that its duration does not reveal the code byte by byte.
    fn verified<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], CursorError> {
        let split = bytes
            .len()
            .checked_sub(CODE_BYTES)
            .ok_or(CursorError::NotAuthentic)?;
        let (authenticated, code) = bytes.split_at(split);
        let mac = self.0.clone().chain_update(authenticated);
        mac.verify_truncated_left(code)
            .map_err(|_| CursorError::NotAuthentic)?;
        Ok(authenticated)
    }
}

impl Cursor {
    /// Creates a cursor without a position.
    #[must_use]
    pub fn new(query_hash: u64, issued_at_s: u64) -> Self {
        Cursor {
            query_hash,
            issued_at_s,
            shard: String::new(),
            skip: 0,
            link: None,
            first_page: None,
            filtered_locally: false,
            after_values: None,
            response_count: 0,
            link_checkpoint: 0,
        }
    }

    /// Returns this cursor with the issue time, response count and link checkpoint that follow from
    /// `previous`, the cursor at which the response started; `None` for the first response of a
    /// query.
    ///
    /// Cycles of links are detected by Brent's algorithm: the cursor keeps the hash of the position
    /// after responses 1, 2, 4, 8 and so on. If that position occurs again, no new feature will
    /// follow.
    ///
    /// # Errors
    ///
    /// Returns [`CursorError::LinkCycle`] if the position occurred before.
    pub fn advanced_from(mut self, previous: Option<&Cursor>) -> Result<Self, CursorError> {
        let position = self.position_hash();
        let Some(previous) = previous else {
            return Ok(Cursor {
                link_checkpoint: position,
                response_count: 1,
                ..self
            });
        };
        self.issued_at_s = previous.issued_at_s;
        self.response_count = previous.response_count.saturating_add(1);
        if previous.link_checkpoint == position {
            return Err(CursorError::LinkCycle);
        }
        let is_checkpoint = self.response_count.is_power_of_two();
        self.link_checkpoint = if is_checkpoint {
            position
        } else {
            previous.link_checkpoint
        };
        Ok(self)
    }

    /// Returns the hash of the position. Tokens that clients hold contain this hash, so the hashed
    /// text must not change.
    fn position_hash(&self) -> u64 {
        let link = self.link.as_ref().map(CursorLink::as_tuple);
        let text = format!("{link:?} {} {:?}", self.skip, self.after_values);
        stable_hash(&[self.shard.as_bytes(), text.as_bytes()])
    }
}

#[cfg(test)]
mod tests;
