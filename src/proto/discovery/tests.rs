//! Tests of the parser of endpoint lists.

use super::*;

const LIST: &str = concat!(
    r#"{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","#,
    r#""state":"terminating","capacity_hint":1.25e-1}]}"#
);

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns the revisions of the lists in a watch's response whose body arrives in these chunks.
fn revisions(chunks: &[&str]) -> Result<Vec<u64>, WatchError> {
    let mut response = WatchResponse::default();
    let mut revisions = Vec::new();
    let encoded_chunks = chunks
        .iter()
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    for bytes in std::iter::once(RESPONSE_HEAD.to_owned()).chain(encoded_chunks) {
        response.reader.input.extend(bytes.as_bytes());
        revisions.extend(
            response
                .advance(Micros::ZERO, 0)?
                .updates
                .iter()
                .map(|update| update.revision),
        );
    }
    Ok(revisions)
}

fn valid_revisions(chunks: &[&str]) -> Vec<u64> {
    revisions(chunks).expect("the chunks contain only endpoint lists")
}

#[test]
fn lists_on_one_line_or_indented_are_parsed_however_they_are_split() {
    // An indented list is complete at the end of its object, not at the end of its first line.
    let value: serde_json::Value = serde_json::from_str(LIST).expect("the list is JSON");
    let indented = serde_json::to_string_pretty(&value).expect("JSON can be formatted");
    for form in [
        format!("{LIST}\n"),
        format!("{indented}\n"),
        format!("\r\n  {}\r\n\n", indented.replace('\n', "\r\n")),
        // The connection may be reset before the end of the line arrives.
        LIST.to_owned(),
    ] {
        assert_eq!(valid_revisions(&[&form, "\n", &form]), [43, 43], "{form}");
        assert_eq!(
            valid_revisions(&[&format!("{form}{form}")]),
            [43, 43],
            "{form}"
        );
        let characters: Vec<String> = form.chars().map(String::from).collect();
        let characters: Vec<&str> = characters.iter().map(String::as_str).collect();
        assert_eq!(valid_revisions(&characters), [43], "{form}");
    }
}

#[test]
fn truncated_list_ends_the_watch_at_the_next_message() {
    let complete = format!("{LIST}\n");
    for cut in 1..LIST.len() {
        let truncated = format!("{}\n", &LIST[..cut]);
        assert!(
            matches!(
                revisions(&[&complete, &truncated, "\n"]),
                Err(WatchError::List(_))
            ),
            "a keep-alive message follows {truncated}"
        );
        assert!(
            matches!(
                revisions(&[&truncated, &complete, "\n"]),
                Err(WatchError::List(_))
            ),
            "a list follows {truncated}"
        );
    }
}

#[test]
fn errors_have_their_log_messages() {
    let unknown_state = LIST.replace("terminating", "asleep");
    let list_error = parse_cached_endpoint_list(unknown_state.as_bytes(), Micros::ZERO, 0);
    let list_error = list_error.expect_err("the state is unknown");
    assert!(matches!(&list_error, EndpointListError::UnknownState(state) if state == "asleep"));
    assert_eq!(list_error.to_string(), r#"unknown endpoint state "asleep""#);
    assert_eq!(
        WatchError::List(list_error).to_string(),
        r#"invalid endpoint list: "unknown endpoint state \"asleep\"""#
    );
    assert_eq!(
        WatchError::Status(404).to_string(),
        "unexpected HTTP status 404"
    );
    assert_eq!(
        WatchError::Http(HttpError::Malformed).to_string(),
        "invalid HTTP response: Malformed"
    );
}

#[test]
fn json_that_is_not_an_endpoint_list_is_rejected() {
    let message = |text: &str| {
        let error =
            parse_cached_endpoint_list(text.as_bytes(), Micros::ZERO, 0).expect_err("not a list");
        error.to_string()
    };
    let list = message("7");
    assert!(
        list.starts_with("invalid type: integer `7`, expected an endpoint list at line 1"),
        "{list}"
    );
    let endpoint = message(r#"{"rev":1,"all":true,"targets":[7]}"#);
    assert!(
        endpoint.starts_with("invalid type: integer `7`, expected an endpoint at line 1"),
        "{endpoint}"
    );
}
