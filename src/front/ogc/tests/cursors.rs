//! Tests of cursors of an earlier release that cannot be continued without a loss of features.

use super::{front, start_items_query, EARLIER_CURSORS};
use crate::front::ogc::cursor::{Cursor, CursorKey};
use crate::front::Reaction;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine as _;

/// The length of the version before a token's fields, in bytes.
const VERSION_BYTES: usize = 1;
/// The length of the authentication code after a token's fields, in bytes.
const CODE_BYTES: usize = 16;

/// Returns the cursor of a token.
fn decode(token: &str) -> Cursor {
    let bytes = URL_SAFE_NO_PAD.decode(token).expect("the token is base64");
    let fields = &bytes[VERSION_BYTES..bytes.len() - CODE_BYTES];
    serde_json::from_slice(fields).expect("the fields are JSON")
}

/// Returns the status of the response to a query with this cursor, or `None` if the query requests
/// pages.
fn status(query: &str, cursor: &Cursor) -> Option<u16> {
    let token = CursorKey::new(b"a key").sign(cursor);
    match start_items_query(&front(), &format!("{query}&cursor={token}"), "") {
        Reaction::Respond(response) => Some(response.status),
        Reaction::Submit(..) => None,
    }
}

/// Guards against features that are skipped at a server with another order, since the cursor does
/// not name the server at which they were counted.
#[test]
fn a_first_page_that_names_no_server_is_not_continued() {
    let (query, token) = EARLIER_CURSORS[0];
    let with_skip = |skip| Cursor {
        skip,
        link: None,
        ..decode(token)
    };
    assert_eq!(status(query, &with_skip(3)), Some(410));
    assert_eq!(status(query, &with_skip(0)), None, "nothing is skipped");
}
