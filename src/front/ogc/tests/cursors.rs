//! Tests of cursors of an earlier release that cannot be continued without a loss of features.

use super::{front, start_items_query, EARLIER_CURSORS};
use crate::coordinator::{Answer, Request, RequestContext};
use crate::front::ogc::cursor::{Cursor, CursorKey};
use crate::front::ogc::page_request::PageRequest;
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
    let mut reaction = start_items_query(&front(), &format!("{query}&cursor={token}"), "");
    loop {
        match reaction {
            Reaction::Respond(response) => return Some(response.status),
            Reaction::Submit(request, _) if requests_items(&request) => return None,
            // Capability discovery.
            Reaction::Submit(_, render) => reaction = render(Answer::Failed { late: false }),
        }
    }
}

fn requests_items(request: &Request) -> bool {
    let context = request.parts.first().and_then(|part| part.context.as_ref());
    let page_request = context.and_then(RequestContext::get::<PageRequest>);
    page_request.is_some_and(|page| page.target.contains("/items?"))
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

/// Guards against features that are in no response, since an earlier release ordered identifiers
/// that are numbers as texts.
#[test]
fn a_sorted_position_of_another_order_is_not_continued() {
    let (query, token) = EARLIER_CURSORS[2];
    let after = |id: &str| Cursor {
        after_values: Some(vec![120.5.into(), "meter".into(), id.into()]),
        ..decode(token)
    };
    assert_eq!(status(query, &after("d7")), None, "a text in both releases");
    assert_eq!(status(query, &after("7")), Some(410));
    let in_shard = |shard: &str| Cursor {
        shard: shard.to_owned(),
        ..after("7")
    };
    assert_eq!(status(query, &in_shard("devices-north")), None);
    assert_eq!(status(query, &in_shard("devices-west")), Some(410));
}
