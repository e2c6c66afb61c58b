//! Cursors: where a next answer begins, as clients carry it. Opaque to them, bound to their query, and authenticated, so
//! that what comes back is what was given out and leads nowhere but where the edge meant it to.
//!
//! A token is base64url of a version byte, the fields as JSON, and the first 16 bytes of HMAC-SHA-256 (RFC 2104) over both.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Of the fields' form; a token of another version is stale.
const VERSION: u8 = 1;
/// Bytes of the code at a token's end.
const CODE: usize = 16;
/// Most characters of a token: a link of a server is the largest part.
const MAX_TOKEN: usize = 8 * 1024;

/// What a cursor carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Hash of the query that it goes on with.
    #[serde(rename = "q")]
    pub query: u64,
    /// Unix time in seconds when its first answer was given: age counts from there.
    #[serde(rename = "a")]
    pub at: u64,
    /// The shard, by its server's name for it.
    #[serde(rename = "s")]
    pub shard: String,
    /// Features of that page that were given already.
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub skip: usize,
    /// The server, its link, and its page's size; absent at the shard's begin.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub link: Option<(String, String, usize)>,
    /// Something of the filter is done here on what that server gives.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub kept: bool,
    /// The last feature's sort keys and id, in an ordered answer.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Vec<serde_json::Value>>,
    /// Answers so far, and the link that one of them began with: a link that comes again goes in a circle.
    #[serde(rename = "n", default)]
    pub answers: u32,
    /// See `answers`.
    #[serde(rename = "m", default)]
    pub mark: u64,
}

fn is_zero(n: &usize) -> bool {
    *n == 0
}

/// Why a token is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CursorError {
    /// It was not made here, or was altered.
    NotAuthentic,
    /// It is good, but of another query.
    WrongQuery,
    /// It is too old, or of a version that is not read any more.
    Expired,
    /// Its links go in a circle.
    LinkCycle,
}

/// The key that tokens are made with.
#[derive(Clone)]
pub struct CursorKey(Hmac<Sha256>);

impl std::fmt::Debug for CursorKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key")
    }
}

impl CursorKey {
    /// A key of these bytes.
    pub fn new(bytes: &[u8]) -> Self {
        // Any length will do for HMAC.
        let mac = Hmac::<Sha256>::new_from_slice(bytes);
        CursorKey(mac.unwrap_or_else(|_| Hmac::new(&Default::default())))
    }

    fn code(&self, bytes: &[u8]) -> [u8; CODE] {
        let whole = self.0.clone().chain_update(bytes).finalize().into_bytes();
        let mut code = [0; CODE];
        code.copy_from_slice(&whole[..CODE]);
        code
    }

    /// The token of a cursor.
    pub fn seal(&self, cursor: &Cursor) -> String {
        let mut bytes = vec![VERSION];
        bytes.extend(serde_json::to_vec(cursor).unwrap_or_default());
        let code = self.code(&bytes);
        bytes.extend(code);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// The cursor of a token: of this query, and no older than `age` seconds at `now` (Unix time in seconds).
    pub fn open(&self, token: &str, query: u64, now: u64, age: u64) -> Result<Cursor, CursorError> {
        if token.len() > MAX_TOKEN {
            return Err(CursorError::NotAuthentic);
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).map_err(|_| CursorError::NotAuthentic)?;
        let split = bytes.len().checked_sub(CODE).ok_or(CursorError::NotAuthentic)?;
        let (said, code) = bytes.split_at(split);
        // Compared in constant time: a code must not be found out byte by byte.
        self.0
            .clone()
            .chain_update(said)
            .verify_truncated_left(code)
            .map_err(|_| CursorError::NotAuthentic)?;
        let (version, fields) = said.split_first().ok_or(CursorError::NotAuthentic)?;
        if *version != VERSION {
            return Err(CursorError::Expired);
        }
        let cursor: Cursor = serde_json::from_slice(fields).map_err(|_| CursorError::Expired)?;
        match () {
            () if cursor.query != query => Err(CursorError::WrongQuery),
            () if now.saturating_sub(cursor.at) > age => Err(CursorError::Expired),
            () => Ok(cursor),
        }
    }
}

impl Cursor {
    /// The cursor after this one, which leads on to `link`. Found to go in a circle by Brent's method: the link of answer
    /// 1, 2, 4, 8 ... is remembered, and if it comes again nothing new will ever come.
    pub fn followed(mut self, before: Option<&Cursor>) -> Result<Self, CursorError> {
        let here = stable_hash(&[
            self.shard.as_bytes(),
            format!("{:?} {} {:?}", self.link, self.skip, self.after).as_bytes(),
        ]);
        let Some(before) = before else { return Ok(Cursor { mark: here, answers: 1, ..self }) };
        self.at = before.at;
        self.answers = before.answers.saturating_add(1);
        if before.mark == here {
            return Err(CursorError::LinkCycle);
        }
        self.mark = if self.answers.is_power_of_two() { here } else { before.mark };
        Ok(self)
    }
}

/// A hash of these, the same in every process: the first bytes of SHA-256, each part with its length before it.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut state = Sha256::new();
    for part in parts {
        state.update((part.len() as u64).to_be_bytes());
        state.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&state.finalize()[..8]);
    u64::from_be_bytes(first)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cursor(target: &str) -> Cursor {
        Cursor {
            query: 7,
            at: 1_000,
            shard: "north".to_owned(),
            skip: 3,
            link: Some(("a".to_owned(), target.to_owned(), 50)),
            kept: false,
            after: None,
            answers: 0,
            mark: 0,
        }
    }

    /// Tokens that an earlier release sealed with this key, and what they carry.
    fn earlier_tokens() -> [(&'static str, Cursor); 2] {
        let full = Cursor {
            query: 7,
            at: 1_000,
            shard: "north".to_owned(),
            skip: 3,
            link: Some(("a".to_owned(), "/x?offset=50".to_owned(), 50)),
            kept: true,
            after: Some(vec![1.5.into(), "b".into(), serde_json::Value::Null, "d9".into()]),
            answers: 5,
            mark: 11,
        };
        let minimal =
            Cursor { skip: 0, link: None, kept: false, after: None, answers: 1, mark: 0, ..full.clone() };
        [
            ("AXsicSI6NywiYSI6MTAwMCwicyI6Im5vcnRoIiwiayI6MywibCI6WyJhIiwiL3g_b2Zmc2V0PTUwIiw1MF0sImYiOnRydWUsIm8iOlsxLjUsImIiLG51bGwsImQ5Il0sIm4iOjUsIm0iOjExfamQYAELlfzdD2OToBD_zh4", full),
            ("AXsicSI6NywiYSI6MTAwMCwicyI6Im5vcnRoIiwibiI6MSwibSI6MH22flZWs1saqAb8CgRMGLXb", minimal),
        ]
    }

    #[test]
    fn tokens_of_an_earlier_release_are_accepted_and_sealed_to_the_same_text() {
        let key = CursorKey::new(b"some key");
        for (token, cursor) in earlier_tokens() {
            assert_eq!(key.open(token, 7, 1_000, 60), Ok(cursor.clone()));
            assert_eq!(key.seal(&cursor), token);
        }
    }

    #[test]
    fn link_marks_are_those_of_an_earlier_release() {
        let marks = earlier_tokens().map(|(_, cursor)| cursor.followed(None).map(|c| c.mark));
        assert_eq!(marks, [Ok(7_573_812_884_547_551_149), Ok(2_975_487_154_951_754_334)]);
    }

    #[test]
    fn only_what_was_given_out_is_taken_back() {
        let key = CursorKey::new(b"some key");
        let token = key.seal(&cursor("/x?offset=50"));
        assert_eq!(key.open(&token, 7, 1_010, 60), Ok(cursor("/x?offset=50")));
        assert_eq!(key.open(&token, 8, 1_010, 60), Err(CursorError::WrongQuery));
        assert_eq!(key.open(&token, 7, 1_061, 60), Err(CursorError::Expired));
        assert_eq!(CursorKey::new(b"another").open(&token, 7, 1_010, 60), Err(CursorError::NotAuthentic));
        for n in 0..token.len() {
            let mut altered = token.clone().into_bytes();
            altered[n] = if altered[n] == b'A' { b'B' } else { b'A' };
            let altered = String::from_utf8(altered).expect("text");
            // The last character has bits to spare: other texts may mean the same bytes.
            let found = key.open(&altered, 7, 1_010, 60);
            assert!(
                found == Err(CursorError::NotAuthentic) || found == Ok(cursor("/x?offset=50")),
                "{n}: {found:?}"
            );
        }
        for text in ["", "A", "no token!", &"A".repeat(100), &"A".repeat(10_000)] {
            assert_eq!(key.open(text, 7, 1_010, 60), Err(CursorError::NotAuthentic));
        }
    }

    #[test]
    fn a_circle_of_links_is_found() {
        for length in [1_usize, 2, 3, 7, 30] {
            let mut before: Option<Cursor> = None;
            let found = (0..10 * length + 10).position(|n| {
                match cursor(&format!("/x?offset={}", n % length)).followed(before.as_ref()) {
                    Ok(next) => {
                        before = Some(next);
                        false
                    }
                    Err(e) => e == CursorError::LinkCycle,
                }
            });
            assert!(found.is_some_and(|n| n <= 4 * length + 4), "{length}: {found:?}");
        }
        let mut before: Option<Cursor> = None;
        for n in 0..1_000 {
            before = Some(cursor(&format!("/x?offset={n}")).followed(before.as_ref()).expect("no circle"));
        }
        assert_eq!(
            before.map(|c| (c.answers, c.at)),
            Some((1_000, 1_000)),
            "age counts from the first answer"
        );
    }
}
