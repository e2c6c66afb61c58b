//! The simulator adapter as a process: frames on its standard input and output, and one error line
//! for malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers": 1, "tick": 5000000, "discovery": "push", "brand-new-key": [1, {"a": 2}],
 "classes": [{"aim": 1000000000, "deadline": 3000000000, "effect": "read_like", "points": 1.0, "odd": null}],
 "family-info": {"cells": 1, "in-a-row": 1, "slices": 1}, "report": {"names": ["never-heard-of"], "via": "inline"}}"#;

/// Runs the adapter with this standard input.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quinceflow-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read everything; the assertions check its output.
    let _ = child
        .stdin
        .take()
        .expect("the standard input is piped")
        .write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// Returns a record of this code and these fields.
fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let mut bytes = vec![code];
    bytes.extend((fields.len() as u32).to_le_bytes());
    bytes.extend(fields);
    bytes
}

/// Returns the frame of a batch with this number, time in nanoseconds, and records.
fn batch(number: u32, now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut bytes = (records.len() as u32).to_le_bytes().to_vec();
    bytes.extend((body.len() as u32 + 12).to_le_bytes());
    bytes.extend(now.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Returns the records that create an instance with these settings and send it an endpoint list of
/// one server.
fn start_records(settings: &str) -> Vec<Vec<u8>> {
    let mut pool = vec![0, 0, 1, 0, 0, 0];
    pool.extend([10, 0, 0, 1, 0, 80, 0, 0, 0, 0, 0, 0, 1, 0, 0, 128, 63]);
    pool.extend(0u64.to_le_bytes());
    let mut new_instance = 9u64.to_le_bytes().to_vec();
    new_instance.extend((settings.len() as u32).to_le_bytes());
    new_instance.extend(settings.as_bytes());
    let on = record(12, &3u16.to_le_bytes());
    vec![
        on,
        record(1, &new_instance),
        record(11, &pool),
        record(2, &[2, 0, 0, 0, 0, 0, 0]),
    ]
}

/// Returns the record of a part of this shard, or that of a query if `shard` is negative.
fn request_record(id: u64, shard: f32) -> Vec<u8> {
    let mut fields = id.to_le_bytes().to_vec();
    fields.extend(5f32.to_le_bytes());
    fields.extend(0u64.to_le_bytes());
    fields.extend(0u64.to_le_bytes());
    fields.push(0xf8);
    fields.extend(0u32.to_le_bytes());
    fields.extend(shard.to_le_bytes());
    fields.extend(1f32.to_le_bytes());
    fields.push(0);
    fields.extend(3_000_000_000u64.to_le_bytes());
    record(3, &fields)
}

/// Returns the record of the outcome of the first attempt at a part, after 0.1 s.
fn outcome_record(id: u64) -> Vec<u8> {
    let mut fields = id.to_le_bytes().to_vec();
    fields.extend([0, 0, 10, 0, 0, 1, 0, 80, 0]);
    fields.extend(100_000_000u64.to_le_bytes());
    fields.extend([1, 1, 0, 0, 128, 63]);
    record(5, &fields)
}

/// A reply: its number, and the codes of its records.
#[derive(Debug)]
struct Reply {
    number: u32,
    codes: Vec<u8>,
}

/// Returns the replies in the output of the adapter.
fn replies(mut bytes: &[u8]) -> Vec<Reply> {
    let word = |b: &[u8]| u32::from_le_bytes(b[..4].try_into().expect("the word has four bytes"));
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let length = word(bytes) as usize;
        let number = word(&bytes[4..]);
        let mut body = &bytes[8..4 + length];
        let rest = &bytes[4 + length..];
        let mut codes = Vec::new();
        while !body.is_empty() {
            codes.push(body[0]);
            body = &body[5 + word(&body[1..]) as usize..];
        }
        all.push(Reply { number, codes });
        bytes = rest;
    }
    all
}

#[test]
fn a_query_is_answered_and_unknown_settings_are_ignored() {
    let on = || record(12, &3u16.to_le_bytes());
    let mut input = batch(1, 1_000, &[]);
    input.extend(batch(2, 2_000, &start_records(SETTINGS)));
    input.extend(batch(
        3,
        5_002_000,
        &[on(), request_record(40, -1.0), request_record(41, 0.0)],
    ));
    input.extend(batch(4, 105_002_000, &[on(), outcome_record(41)]));
    let output = run(&input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let replies = replies(&output.stdout);
    assert_eq!(
        replies.iter().map(|reply| reply.number).collect::<Vec<_>>(),
        [1, 2, 3, 4]
    );
    assert!(replies[0].codes.is_empty());
    assert!(replies[2].codes.contains(&65), "sent: {replies:?}");
    assert!(replies[3].codes.contains(&77), "answered: {replies:?}");
}

#[test]
fn an_instance_can_be_restarted_within_a_batch() {
    let mut records = start_records(SETTINGS);
    records.push(record(10, &[]));
    records.extend(start_records(SETTINGS));
    let output = run(&batch(1, 1_000, &records));
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(replies(&output.stdout).len(), 1);
}

/// Returns a batch with the records of a start and one more.
fn batch_with(extra: Vec<u8>) -> Vec<u8> {
    let mut records = start_records(SETTINGS);
    records.push(extra);
    batch(7, 1_000, &records)
}

/// An input with an error, and words that its error line contains.
struct MalformedInput {
    error: &'static str,
    bytes: Vec<u8>,
}

/// Returns an input with a malformed record after those of a start.
fn malformed_record(error: &'static str, record: Vec<u8>) -> MalformedInput {
    MalformedInput {
        error,
        bytes: batch_with(record),
    }
}

/// Returns a first batch of malformed records.
fn malformed_start(error: &'static str, records: &[Vec<u8>]) -> MalformedInput {
    MalformedInput {
        error,
        bytes: batch(7, 0, records),
    }
}

/// Returns the record of a probe with this outcome that announces `announced` values and has `values`.
fn probe_record(outcome: u8, announced: u8, values: &[u8]) -> Vec<u8> {
    let head = [10, 0, 0, 1, 0, 80, outcome];
    record(8, &[&head[..], &[0; 8], &[announced], values].concat())
}

/// Returns the record of an outcome that does not exist.
fn unknown_outcome_record() -> Vec<u8> {
    let mut bytes = outcome_record(41);
    bytes[5 + 16] = 77;
    bytes
}

/// Returns inputs whose records are malformed or out of order.
fn malformed_records() -> Vec<MalformedInput> {
    let settings = SETTINGS.replace("read_like", "whimsical");
    vec![
        malformed_record("unknown event code 99", record(99, &[])),
        malformed_record("VERDICT", record(5, &[1, 2, 3])),
        malformed_record("PROBED", probe_record(0, 2, &[0; 4])),
        malformed_record("unknown outcome", probe_record(99, 0, &[])),
        malformed_record("unknown outcome", unknown_outcome_record()),
        malformed_start("boot-info", &start_records("{\"balancers\": ")),
        malformed_start("effect", &start_records(&settings)),
        malformed_start(
            "POOL",
            &[record(12, &[0, 0]), record(2, &[1, 0, 0, 0, 0, 9, 0])],
        ),
        malformed_start("before any ON", &[record(10, &[])]),
    ]
}

/// Returns inputs whose frames are cut off or of a wrong length.
fn malformed_frames() -> Vec<MalformedInput> {
    let start = batch(7, 0, &start_records(SETTINGS));
    let mut short_length = start.clone();
    short_length[0] = 2;
    vec![
        MalformedInput {
            error: "frame",
            bytes: start[..50].to_vec(),
        },
        MalformedInput {
            error: "frame header",
            bytes: vec![1, 0, 0],
        },
        MalformedInput {
            error: "under 12",
            bytes: [0u32.to_le_bytes(), 3u32.to_le_bytes()].concat(),
        },
        MalformedInput {
            error: "bytes left",
            bytes: short_length,
        },
    ]
}

#[test]
fn malformed_input_gets_one_error_line_and_no_reply() {
    for input in malformed_records().into_iter().chain(malformed_frames()) {
        let error = input.error;
        let output = run(&input.bytes);
        let error_line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{error}: {error_line}");
        assert!(error_line.contains(error), "{error}: {error_line}");
        assert_eq!(error_line.lines().count(), 1, "{error}: {error_line}");
        assert!(
            !error_line.contains("panicked") && output.stdout.is_empty(),
            "{error}: {error_line}"
        );
    }
}
