//! Particular cases of a connection: invalid and late answers, cancellations and restarts.

use super::wire::{connection_with_written, frame, frames, key, query_payload, request, write_all};
use quinceflow::coordinator::{AttemptEnd, AttemptKey, AttemptRequest};
use quinceflow::proto::frames::{AttemptEvent, FrameError, MultiplexedConnection};
use quinceflow::{AttemptNo, Outcome};

/// Answers to attempt 0 that are not the usual ones, and whether the connection can be used after
/// them.
const UNUSUAL_ANSWERS: [(&str, bool); 12] = [
    ("9b1f.0 served 1 inflight=\u{fffd} x,util\nvalue", true),
    ("9b1f.0 served 1 -\nvalue\0\0\0", false),
    ("9b1f.0 served 1 -\nva\nlue", false),
    ("9b1f.0 served x -\nvalue", false),
    ("9b1f.0 served 1\nvalue", false),
    ("9b1f.0 serve 1 -\nvalue", false),
    ("9b1f.0served 1 -\nvalue", false),
    ("9b1f.0 served 1 -", false),
    ("9b1f.00 served 1 -\nvalue", false),
    ("", false),
    ("9b1f.0 broke 1 -\n", true),
    ("9b1f.0 skipped 1 -\n", true),
];

/// Receives these bytes, behind which no others have arrived, and returns the number of complete
/// frames and the events.
fn receive(
    connection: &mut MultiplexedConnection,
    bytes: &[u8],
) -> (Result<usize, FrameError>, Vec<AttemptEvent>) {
    let mut events = Vec::new();
    connection.input().extend(bytes);
    let result = connection.process_input(&mut events);
    connection.confirm_last_answer(&mut events);
    (result, events)
}

#[test]
fn only_valid_answers_end_an_attempt_and_load_reports_are_ignored() {
    // After an answer with an unknown id, or with a value that extends into the next frame, the
    // connection is not usable: its attempts fail at once instead of waiting for an answer.
    for (text, usable) in UNUSUAL_ANSWERS {
        let mut connection = connection_with_written(&[&[request(0)]]);
        let (result, mut events) = receive(&mut connection, &frame('a', text));
        assert_eq!(result.is_ok(), usable, "{text:?}");
        assert_eq!(events.len(), usize::from(usable), "{text:?}");
        let served = matches!(&events[..], [AttemptEvent::Ended(_, AttemptEnd::Served(value))] if &value[..] == b"value");
        assert_eq!(served, usable && text.contains("served"), "{text:?}");
        events.clear();
        connection.fail_all(&mut events);
        let reset = AttemptEvent::Ended(key(0), AttemptEnd::Failed(Outcome::Reset));
        let expected = if usable { vec![] } else { vec![reset] };
        assert_eq!(events, expected, "the part may have run: {text:?}");
    }
}

#[test]
fn duplicate_and_late_answers_are_ignored_and_a_partial_frame_is_detected() {
    let mut connection = connection_with_written(&[&[request(0)], &[request(1)]]);
    connection.cancel(key(1));
    let answer = |n: usize| frame('a', &format!("9b1f.{n} served 1 -\nvalue"));
    let (result, events) = receive(&mut connection, &[answer(0), answer(0), answer(1)].concat());
    assert_eq!(result, Ok(3));
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(!connection.has_partial_frame());
    // Only the start of this frame arrives: bytes that follow must not be taken for its end.
    let (result, _) = receive(&mut connection, &answer(0)[..9]);
    assert_eq!(result, Ok(0));
    assert!(connection.has_partial_frame());
}

/// The cancellation of some of three attempts in one frame.
#[derive(Debug, Clone, Copy)]
struct CancelCase {
    /// The cancelled attempts, a bit for each.
    cancelled: usize,
    /// Whether some bytes of the frame are written before the cancellation.
    write_started: bool,
    /// Whether the connection ends after the cancellation, and the other attempts are sent on
    /// another connection.
    restarted: bool,
}

impl CancelCase {
    const ALL_CANCELLED: usize = 0b111;

    /// Whether attempt `n` is cancelled.
    fn is_cancelled(self, n: usize) -> bool {
        self.cancelled & (1 << n) > 0
    }

    /// Returns the attempts that are cancelled, or those that are not.
    fn attempts(self, cancelled: bool) -> impl Iterator<Item = usize> {
        (0..3).filter(move |n| self.is_cancelled(*n) == cancelled)
    }

    /// Returns the frames that the node must receive on the last connection.
    fn expected_frames(self) -> Vec<(char, String)> {
        let mut expected = Vec::new();
        if self.write_started && !self.restarted {
            expected.push(('q', (0..3).map(query_payload).collect()));
            expected.extend(self.attempts(true).map(|n| ('c', format!("9b1f.{n}"))));
        } else if self.cancelled != Self::ALL_CANCELLED {
            expected.push(('q', self.attempts(false).map(query_payload).collect()));
        }
        expected
    }

    fn check(self) {
        let mut connection = MultiplexedConnection::default();
        connection.enqueue(&[request(0), request(1), request(2)]);
        let mut wire = Vec::new();
        if self.write_started {
            let mut events = Vec::new();
            wire.extend_from_slice(&connection.output()[..7]);
            connection.record_written(7, &mut events);
            assert_eq!(
                events,
                [0, 1, 2].map(|n| AttemptEvent::WriteStarted(key(n)))
            );
        }
        self.attempts(true).for_each(|n| connection.cancel(key(n)));
        if self.restarted {
            let has_other_attempts = self.cancelled != Self::ALL_CANCELLED;
            assert_eq!(
                connection.restart_unsent(),
                has_other_attempts,
                "the other attempts may be sent on another connection"
            );
            wire.clear();
        }
        let (written, events) = write_all(&mut connection);
        wire.extend(written);
        let fully_written: Vec<_> = self
            .attempts(false)
            .map(|n| AttemptEvent::FullyWritten(key(n)))
            .collect();
        assert_eq!(events, fully_written);
        if !(self.restarted && self.cancelled == Self::ALL_CANCELLED) {
            assert_eq!(frames(&wire), self.expected_frames(), "{self:?}");
        }
    }
}

#[test]
fn cancelled_attempts_of_a_frame_are_not_sent_unless_its_write_has_started() {
    // A frame may carry several attempts. Those that are cancelled before its write starts are
    // removed from it.
    for cancelled in 0..=CancelCase::ALL_CANCELLED {
        for write_started in [false, true] {
            for restarted in [false, true] {
                CancelCase {
                    cancelled,
                    write_started,
                    restarted,
                }
                .check();
            }
        }
    }
}

#[test]
fn late_answer_is_not_taken_for_one_to_the_next_attempt() {
    // All attempts at a part have the same id. A late "broke" or "skipped" for the cancelled attempt
    // must not end the attempt in flight: the part would be sent a third time while that one runs.
    let retry = |n: usize| AttemptRequest {
        key: AttemptKey {
            attempt: AttemptNo(1),
            ..key(n)
        },
        ..request(n)
    };
    let other_query = AttemptRequest {
        request_id: "9b20".into(),
        ..retry(1)
    };
    let mut connection = connection_with_written(&[&[request(0), request(1)]]);
    assert!(
        !connection.awaits_late_answer(&retry(1)),
        "the attempt is in flight and not cancelled"
    );
    connection.cancel(key(1));
    write_all(&mut connection);
    assert!(
        connection.awaits_late_answer(&retry(1)),
        "the cancelled attempt may still be answered"
    );
    assert!(!connection.awaits_late_answer(&other_query));
    assert!(!connection.awaits_late_answer(&request(2)));
    let (result, _) = receive(&mut connection, &frame('a', "9b1f.1 skipped 1 -\n"));
    assert_eq!(result, Ok(1));
    assert!(
        !connection.awaits_late_answer(&retry(1)),
        "the cancelled attempt has been answered"
    );
    let (result, _) = receive(&mut connection, &frame('a', "9b1f.0 skipped 1 -\n"));
    assert_eq!(result, Ok(1));
    assert!(
        !connection.awaits_late_answer(&retry(0)),
        "the attempt was answered before any cancellation"
    );
}

#[test]
fn restart_clears_the_ids_of_the_ended_connection() {
    let retry = AttemptRequest {
        key: AttemptKey {
            attempt: AttemptNo(1),
            ..key(0)
        },
        ..request(0)
    };
    let mut connection = connection_with_written(&[&[request(0)]]);
    connection.cancel(key(0));
    assert!(
        connection.awaits_late_answer(&retry),
        "the cancelled attempt may still be answered"
    );
    connection.enqueue(&[request(1)]);
    assert!(
        connection.restart_unsent(),
        "only an unsent attempt is in flight"
    );
    assert!(
        !connection.awaits_late_answer(&retry),
        "no answer can arrive any more"
    );
    let (result, _) = receive(&mut connection, &frame('a', "9b1f.0 served 1 -\nvalue"));
    assert_eq!(
        result,
        Err(FrameError::UnknownAttempt),
        "the attempt was never sent on the new connection"
    );
}
