use super::*;

fn decode_error(letter: u8, payload: &[u8]) -> FrameError {
    match decode(&frame(letter, payload)) {
        Err(error) => error,
        Ok(_) => panic!("no error: {:?}", String::from_utf8_lossy(payload)),
    }
}

#[test]
fn invalid_frames_are_rejected_with_the_texts_of_the_log() {
    let error = |text: &str| decode_error(letter::ANSWER, text.as_bytes());
    let cases = [
        (
            decode_error(b'z', b""),
            FrameError::UnknownLetter('z'),
            "unknown letter 'z'",
        ),
        (
            decode_error(letter::ERROR, b"old"),
            FrameError::Rejected("old".to_owned()),
            "refused: old",
        ),
        (
            error("1.0 served 1 -"),
            FrameError::UnterminatedLine,
            "an answer with no end of its line",
        ),
        (
            error("1.0 served\n"),
            FrameError::MalformedLine,
            "an answer with a line that cannot be read",
        ),
        (
            error("1.0 served x -\nv"),
            FrameError::MalformedValue,
            "an answer with a score or a value that cannot be read",
        ),
        (
            error("1.0 lost 1 -\n"),
            FrameError::UnknownEnd("lost".to_owned()),
            "an answer with the unknown end \"lost\"",
        ),
    ];
    for (error, expected, text) in cases {
        assert_eq!(error, expected);
        assert_eq!(error.to_string(), text);
    }
    assert_eq!(
        FrameError::UnknownAttempt.to_string(),
        "an answer to what never went out"
    );
}

#[test]
fn length_beyond_the_bound_is_rejected_before_the_frame_is_complete() {
    let too_long = MAX_FRAME_LENGTH + 1;
    let error = decode(&(too_long as u32).to_be_bytes()).err();
    assert_eq!(error, Some(FrameError::Length(too_long)));
    assert_eq!(
        error.map(|e| e.to_string()),
        Some(format!("a frame of {too_long} bytes"))
    );
    assert_eq!(
        decode(&[0; LENGTH_BYTES]).err(),
        Some(FrameError::Length(0))
    );
    assert!(matches!(
        decode(&(MAX_FRAME_LENGTH as u32).to_be_bytes()),
        Ok(None)
    ));
}
