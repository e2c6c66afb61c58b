//! Answers whose length is too small, and good answers with noise behind them.

use super::wire::{connection_with_written, frame, key, request};
use quinceflow::coordinator::AttemptEnd;
use quinceflow::proto::frames::{AttemptEvent, FrameError};
use quinceflow::Outcome;

/// The answer to attempt 0; its value ends with a character of two bytes.
const ANSWER: &str = "9b1f.0 served 1 -\n223a118f3bbfd0f\u{e9}";
/// The value of [`ANSWER`].
const VALUE: &str = "223a118f3bbfd0f\u{e9}";
/// An answer to an attempt that may follow.
const NEXT_ANSWER: &str = "9b1f.1 served 1 -\nvalue";

/// Returns an answer whose length is too small by this number of bytes.
fn short_frame(missing: usize) -> Vec<u8> {
    let mut bytes = frame('a', ANSWER);
    let length = (ANSWER.len() + 1 - missing) as u32;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// What a connection made of the received bytes.
struct Received {
    result: Result<(), FrameError>,
    /// The ends of the attempts, up to the end of the connection if there was an error.
    ends: Vec<(usize, AttemptEnd)>,
}

/// Receives the bytes in two reads on a connection with this number of attempts in flight.
fn receive(attempts: usize, bytes: &[u8], split: usize) -> Received {
    let requests: Vec<_> = (0..attempts).map(request).collect();
    let queries: Vec<_> = requests.chunks(1).collect();
    let mut connection = connection_with_written(&queries);
    let mut events = Vec::new();
    let (first, second) = bytes.split_at(split);
    let mut result = Ok(());
    for portion in [first, second] {
        connection.input().extend(portion);
        result = result.and_then(|()| connection.process_input(&mut events).map(drop));
    }
    connection.confirm_last_answer(&mut events);
    if result.is_err() {
        connection.fail_all(&mut events);
    }
    let end = |event| match event {
        AttemptEvent::Ended(ended, end) => {
            let number = (0..attempts).find(|n| key(*n) == ended);
            (number.expect("the attempt was sent"), end)
        }
        other => panic!("unexpected event {other:?}"),
    };
    let ends = events.into_iter().map(end).collect();
    Received { result, ends }
}

fn served(value: &str) -> AttemptEnd {
    AttemptEnd::Served(value.as_bytes().into())
}

#[test]
fn no_part_of_a_value_is_served_whatever_the_length_and_the_reads() {
    // Guards against truncated values in answers to clients: the answer is a valid frame, and only
    // the bytes behind it show that its length is too small.
    let reset = AttemptEnd::Failed(Outcome::Reset);
    for attempts in [1, 2] {
        for missing in 1..=VALUE.len() {
            let mut bytes = short_frame(missing);
            if attempts > 1 {
                bytes.extend(frame('a', NEXT_ANSWER));
            }
            for split in 0..bytes.len() {
                let received = receive(attempts, &bytes, split);
                let case = (attempts, missing, split, &received.ends);
                assert!(received.result.is_err(), "{case:?}");
                let all_reset: Vec<_> = (0..attempts).map(|n| (n, reset.clone())).collect();
                assert_eq!(received.ends, all_reset, "{case:?}");
            }
        }
    }
}

#[test]
fn a_short_answer_that_claims_its_part_never_ran_is_not_trusted() {
    // Guards against a part that is sent again after a corrupt answer.
    let mut bytes = frame('a', "9b1f.0 skipped 1 -\n");
    bytes.extend_from_slice(b"223a");
    let received = receive(1, &bytes, 0);
    assert_eq!(received.result, Err(FrameError::ShortAnswer));
    let reset = AttemptEnd::Failed(Outcome::Reset);
    assert_eq!(received.ends, [(0, reset)]);
}

#[test]
fn an_answer_is_kept_if_the_bytes_behind_it_cannot_be_the_rest_of_its_value() {
    // Guards against the loss of good answers.
    let noise: [&[u8]; 5] = [
        b"P\xa7nS-\x1b\x02\xf3\r\n",
        b"\xdf1234",
        b"text\r\n\r\n",
        b"\xb2\xd0\x5e\x00a",
        b"\0\0\0\x05zwhat",
    ];
    for bytes_behind in noise {
        let bytes = [&frame('a', ANSWER)[..], bytes_behind].concat();
        let received = receive(1, &bytes, 0);
        assert!(received.result.is_err(), "{bytes_behind:?}");
        assert_ne!(received.result, Err(FrameError::ShortAnswer));
        assert_eq!(received.ends, [(0, served(VALUE))], "{bytes_behind:?}");
    }
}

#[test]
fn text_behind_an_answer_is_suspect_while_other_answers_are_awaited() {
    // The text may be the rest of the value, and the bytes behind it another corrupt answer.
    let bytes = [&short_frame(4)[..], b"\xb2\xd0\x5e\x00a"].concat();
    let received = receive(2, &bytes, 0);
    assert_eq!(received.result, Err(FrameError::ShortAnswer));
    let reset = AttemptEnd::Failed(Outcome::Reset);
    assert_eq!(received.ends, [(0, reset.clone()), (1, reset)]);
}

#[test]
fn an_answer_before_another_frame_is_kept() {
    let bytes = [frame('a', ANSWER), frame('a', NEXT_ANSWER)].concat();
    for split in 0..bytes.len() {
        let received = receive(2, &bytes, split);
        assert_eq!(received.result, Ok(()));
        assert_eq!(received.ends, [(0, served(VALUE)), (1, served("value"))]);
    }
}
