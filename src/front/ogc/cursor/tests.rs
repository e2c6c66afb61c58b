//! Tests that only cursors that the service issued are accepted, and that cycles are detected.

use super::*;

fn link(target: &str) -> Option<CursorLink> {
    Some(CursorLink {
        server: "a".to_owned(),
        target: target.to_owned(),
        page_size: 50,
    })
}

fn cursor(target: &str) -> Cursor {
    Cursor {
        query_hash: 7,
        issued_at_s: 1_000,
        shard: "north".to_owned(),
        skip: 3,
        link: link(target),
        first_page: None,
        filtered_locally: false,
        after_values: None,
        response_count: 0,
        link_checkpoint: 0,
    }
}

/// Returns tokens that an earlier release signed with the key of these tests, and their cursors.
fn earlier_tokens() -> [(&'static str, Cursor); 2] {
    let full = Cursor {
        query_hash: 7,
        issued_at_s: 1_000,
        shard: "north".to_owned(),
        skip: 3,
        link: link("/x?offset=50"),
        first_page: None,
        filtered_locally: true,
        after_values: Some(vec![
            1.5.into(),
            "b".into(),
            serde_json::Value::Null,
            "d9".into(),
        ]),
        response_count: 5,
        link_checkpoint: 11,
    };
    let minimal = Cursor {
        skip: 0,
        link: None,
        filtered_locally: false,
        after_values: None,
        response_count: 1,
        link_checkpoint: 0,
        ..full.clone()
    };
    [
        (
            "AXsicSI6NywiYSI6MTAwMCwicyI6Im5vcnRoIiwiayI6MywibCI6WyJhIiwiL3g_b2Zmc2V0PTUwIiw1MF0sIm\
             YiOnRydWUsIm8iOlsxLjUsImIiLG51bGwsImQ5Il0sIm4iOjUsIm0iOjExfamQYAELlfzdD2OToBD_zh4",
            full,
        ),
        ("AXsicSI6NywiYSI6MTAwMCwicyI6Im5vcnRoIiwibiI6MSwibSI6MH22flZWs1saqAb8CgRMGLXb", minimal),
    ]
}

#[test]
fn tokens_of_an_earlier_release_are_accepted_and_signed_to_the_same_text() {
    let key = CursorKey::new(b"some key");
    for (token, cursor) in earlier_tokens() {
        assert_eq!(key.verify(token, 7, 1_000, 60), Ok(cursor.clone()));
        assert_eq!(key.sign(&cursor), token);
    }
}

#[test]
fn a_first_page_is_a_part_of_the_token() {
    let key = CursorKey::new(b"some key");
    let cursor = Cursor {
        link: None,
        first_page: Some(CursorFirstPage {
            server: "a".to_owned(),
            page_size: 500,
            target_hash: u64::MAX,
        }),
        ..cursor("")
    };
    assert_eq!(key.verify(&key.sign(&cursor), 7, 1_000, 60), Ok(cursor));
}

#[test]
fn link_checkpoints_are_those_of_an_earlier_release() {
    let checkpoints =
        earlier_tokens().map(|(_, cursor)| cursor.advanced_from(None).map(|c| c.link_checkpoint));
    assert_eq!(
        checkpoints,
        [Ok(7_573_812_884_547_551_149), Ok(2_975_487_154_951_754_334)]
    );
}

#[test]
fn altered_foreign_and_expired_tokens_are_rejected() {
    let key = CursorKey::new(b"some key");
    let token = key.sign(&cursor("/x?offset=50"));
    assert_eq!(key.verify(&token, 7, 1_010, 60), Ok(cursor("/x?offset=50")));
    assert_eq!(
        key.verify(&token, 8, 1_010, 60),
        Err(CursorError::WrongQuery)
    );
    assert_eq!(key.verify(&token, 7, 1_061, 60), Err(CursorError::Expired));
    assert_eq!(
        CursorKey::new(b"another").verify(&token, 7, 1_010, 60),
        Err(CursorError::NotAuthentic)
    );
    for n in 0..token.len() {
        let mut altered = token.clone().into_bytes();
        altered[n] = if altered[n] == b'A' { b'B' } else { b'A' };
        let altered = String::from_utf8(altered).expect("a token is ASCII");
        // The last character has unused bits, so another text may stand for the same bytes.
        let result = key.verify(&altered, 7, 1_010, 60);
        assert!(
            result == Err(CursorError::NotAuthentic) || result == Ok(cursor("/x?offset=50")),
            "character {n}: {result:?}"
        );
    }
    for text in ["", "A", "no token!", &"A".repeat(100), &"A".repeat(10_000)] {
        assert_eq!(
            key.verify(text, 7, 1_010, 60),
            Err(CursorError::NotAuthentic)
        );
    }
}

#[test]
fn cycles_of_links_are_detected() {
    for length in [1_usize, 2, 3, 7, 30] {
        let mut previous: Option<Cursor> = None;
        let detected_at = (0..10 * length + 10).position(|n| {
            match cursor(&format!("/x?offset={}", n % length)).advanced_from(previous.as_ref()) {
                Ok(next) => {
                    previous = Some(next);
                    false
                }
                Err(error) => error == CursorError::LinkCycle,
            }
        });
        assert!(
            detected_at.is_some_and(|n| n <= 4 * length + 4),
            "cycle of {length} links: {detected_at:?}"
        );
    }
    let mut previous: Option<Cursor> = None;
    for n in 0..1_000 {
        previous = Some(
            cursor(&format!("/x?offset={n}"))
                .advanced_from(previous.as_ref())
                .expect("there is no cycle"),
        );
    }
    assert_eq!(
        previous.map(|c| (c.response_count, c.issued_at_s)),
        Some((1_000, 1_000)),
        "the age is counted from the first response"
    );
}
