use super::*;

const LIST: &str = r#"{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"terminating","capacity_hint":1.25e-1}]}"#;

/// What comes of these pieces of a watch's answer: the versions that were told, in order.
fn told(pieces: &[&str]) -> Result<Vec<u64>, WatchError> {
    let mut watch = Watch::default();
    let mut versions = Vec::new();
    for piece in std::iter::once(&"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").chain(pieces) {
        let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
        watch.reader.input.feed(if piece.starts_with("HTTP") { piece.as_bytes() } else { chunk.as_bytes() });
        versions.extend(watch.advance(Micros::ZERO, 0)?.0.iter().map(|n| n.revision));
    }
    Ok(versions)
}

#[test]
fn a_list_is_read_on_one_line_or_indented_however_it_is_cut() {
    // An indented list was no list by its first line: the watch was closed and opened for ever, and no drain was heard.
    let value: serde_json::Value = serde_json::from_str(LIST).expect("a list");
    let indented = serde_json::to_string_pretty(&value).expect("a list");
    for form in [
        format!("{LIST}\n"),
        format!("{indented}\n"),
        format!("\r\n  {}\r\n\n", indented.replace('\n', "\r\n")),
        // Reset before the line's end: what it said was not heard before the next watch.
        LIST.to_owned(),
    ] {
        assert_eq!(told(&[&form, "\n", &form]), Ok(vec![43, 43]), "{form}");
        assert_eq!(told(&[&format!("{form}{form}")]), Ok(vec![43, 43]), "{form}");
        let cut: Vec<String> = form.chars().map(String::from).collect();
        let cut: Vec<&str> = cut.iter().map(String::as_str).collect();
        assert_eq!(told(&cut), Ok(vec![43]), "{form}");
    }
}

#[test]
fn a_list_that_is_cut_off_ends_the_watch_at_the_next_word_and_not_never() {
    let whole = format!("{LIST}\n");
    for cut in 1..LIST.len() {
        let begun = format!("{}\n", &LIST[..cut]);
        assert!(
            matches!(told(&[&whole, &begun, "\n"]), Err(WatchError::Line(_))),
            "then nothing new: {begun}"
        );
        assert!(matches!(told(&[&begun, &whole, "\n"]), Err(WatchError::Line(_))), "then a list: {begun}");
    }
}
