//! Tests of the rejection of invalid frames.

use super::*;

fn decode_error(letter: u8, payload: &[u8]) -> FrameError {
    match decode(&frame(letter, payload)) {
        Err(error) => error,
        Ok(_) => panic!("frame accepted: {:?}", String::from_utf8_lossy(payload)),
    }
}

/// An invalid frame, with its error and the error's message.
struct InvalidFrame {
    letter: u8,
    payload: &'static str,
    error: FrameError,
    text: &'static str,
}

fn invalid_answer(payload: &'static str, error: FrameError, text: &'static str) -> InvalidFrame {
    InvalidFrame {
        letter: letter::ANSWER,
        payload,
        error,
        text,
    }
}

fn invalid_frames() -> [InvalidFrame; 6] {
    [
        InvalidFrame {
            letter: b'z',
            payload: "",
            error: FrameError::UnknownLetter('z'),
            text: "unknown frame letter 'z'",
        },
        InvalidFrame {
            letter: letter::ERROR,
            payload: "old",
            error: FrameError::Rejected("old".to_owned()),
            text: "data node rejected a frame: old",
        },
        invalid_answer(
            "1.0 served 1 -",
            FrameError::UnterminatedLine,
            "answer has an unterminated first line",
        ),
        invalid_answer(
            "1.0 served\n",
            FrameError::MalformedLine,
            "answer has a malformed first line",
        ),
        invalid_answer(
            "1.0 served x -\nv",
            FrameError::MalformedValue,
            "answer has a malformed score or value",
        ),
        invalid_answer(
            "1.0 lost 1 -\n",
            FrameError::UnknownEnd("lost".to_owned()),
            "answer has the unknown end \"lost\"",
        ),
    ]
}

#[test]
fn invalid_frames_are_rejected_with_their_log_messages() {
    for frame in invalid_frames() {
        let error = decode_error(frame.letter, frame.payload.as_bytes());
        assert_eq!(error, frame.error);
        assert_eq!(error.to_string(), frame.text);
    }
    assert_eq!(
        FrameError::UnknownAttempt.to_string(),
        "answer to an attempt that was never sent on this connection"
    );
}

#[test]
fn length_that_exceeds_the_maximum_is_rejected_before_the_frame_is_complete() {
    let too_long = MAX_FRAME_BYTES + 1;
    let error = decode(&(too_long as u32).to_be_bytes()).err();
    assert_eq!(error, Some(FrameError::InvalidLength(too_long)));
    assert_eq!(
        error.map(|e| e.to_string()),
        Some(format!(
            "frame length of {too_long} bytes is zero or exceeds the maximum"
        ))
    );
    assert_eq!(
        decode(&[0; LENGTH_BYTES]).err(),
        Some(FrameError::InvalidLength(0))
    );
    assert!(matches!(
        decode(&(MAX_FRAME_BYTES as u32).to_be_bytes()),
        Ok(None)
    ));
}
