//! Models of a connection's states, against which random steps are checked. Fixed seeds: the same verdict each time.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quinceflow::coordinator::{AttemptEnd, AttemptKey, AttemptRequest, ClassMetrics};
use quinceflow::proto::admin::{AdminCommand, AdminConnection};
use quinceflow::proto::frames::{Link, LinkEvent};
use quinceflow::proto::http::{Response, ServerConnection};
use quinceflow::time::Micros;
use quinceflow::{AttemptNo, Outcome, PartId, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    }
}

/// What a data node may send that is no good answer to part 0: what it is, and whether the connection is of use after.
const ODD: [(&str, bool); 12] = [
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

#[derive(Debug, Clone)]
enum Step {
    Call,
    CallOff(usize),
    Write(usize),
    /// An answer for one of the parts, how it ended, and where its frame is cut in two.
    Answer(usize, usize, usize),
    TakeBack,
    Restart,
    Break,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Call),
        2 => any::<usize>().prop_map(Step::CallOff),
        4 => (1usize..90).prop_map(Step::Write),
        4 => (any::<usize>(), 0usize..3, any::<usize>()).prop_map(|(n, how, cut)| Step::Answer(n, how, cut)),
        1 => Just(Step::TakeBack),
        1 => Just(Step::Restart),
        1 => Just(Step::Break),
    ]
}

/// What the model knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Known {
    /// Of its frame so many bytes are still to be written.
    Left(usize),
    Written,
    /// Given up here, or ended.
    Over,
}

fn key(n: usize) -> AttemptKey {
    AttemptKey { part: PartId(n as u64), attempt: AttemptNo(0) }
}

fn job(n: usize) -> AttemptRequest {
    let text: &[u8] = b"c41e77d0";
    AttemptRequest {
        key: key(n),
        request_id: "9b1f".into(),
        shard: ShardId(n as u32),
        payload: text.into(),
        context: None,
        timeout: Micros(240_000),
        metrics: Default::default(),
    }
}

fn frame(letter: char, rest: &str) -> Vec<u8> {
    [&(rest.len() as u32 + 1).to_be_bytes()[..], letter.to_string().as_bytes(), rest.as_bytes()].concat()
}

/// The frames that the data node has read whole, as letter and rest.
fn frames(mut bytes: &[u8]) -> Vec<(char, String)> {
    let mut all = Vec::new();
    while let Some(head) = bytes.first_chunk::<4>() {
        let Some(body) = bytes.get(4..4 + u32::from_be_bytes(*head) as usize) else { break };
        all.push((char::from(body[0]), String::from_utf8_lossy(&body[1..]).into_owned()));
        bytes = &bytes[4 + body.len()..];
    }
    all
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn every_attempt_on_a_link_ends_once_and_as_far_as_its_frame_went(steps in vec(step(), 1..60)) {
        let mut link = Link::default();
        let mut known: Vec<Known> = Vec::new();
        // What is written on the present connection, and what is queued: whose call it is, and its bytes left.
        let mut wire = Vec::new();
        let mut queue: Vec<(Option<usize>, usize, usize)> = Vec::new();
        // The parts that the data node has read on the present connection: it answers no others.
        let mut met = BTreeSet::new();
        // Frames written whole, whatever became of their parts: operators are told of these.
        let (tally, mut whole) = (Arc::new(ClassMetrics::default()), 0);
        for step in steps.into_iter().chain([Step::Break]) {
            let mut events = Vec::new();
            let mut expected: BTreeMap<usize, Option<Outcome>> = BTreeMap::new();
            let mut broken = false;
            match step {
                Step::Call => {
                    let n = known.len();
                    link.call(&[AttemptRequest { metrics: tally.clone(), ..job(n) }]);
                    let size = frame('q', &format!("9b1f.{n} {n} d=240 8\nc41e77d0")).len();
                    known.push(Known::Left(size));
                    queue.push((Some(n), size, size));
                }
                Step::CallOff(n) if !known.is_empty() => {
                    let n = n % known.len();
                    link.call_off(key(n));
                    let unbegun = queue.iter().position(|q| q.0 == Some(n) && q.1 == q.2);
                    if known[n] != Known::Over {
                        match unbegun {
                            Some(at) => drop(queue.remove(at)),
                            None => {
                                let size = frame('c', &format!("9b1f.{n}")).len();
                                queue.push((None, size, size));
                            }
                        }
                    }
                    known[n] = Known::Over;
                }
                Step::Write(n) => {
                    let n = n.min(link.output().len());
                    wire.extend_from_slice(&link.output()[..n]);
                    link.wrote(n, &mut events);
                    if n > 0 {
                        let begins = queue[0].1 == queue[0].2 && n < queue[0].1;
                        if let Some(call) = queue[0].0.filter(|c| begins && known[*c] != Known::Over) {
                            prop_assert_eq!(&events[..], &[LinkEvent::Begun(key(call))]);
                            events.clear();
                        }
                        queue[0].1 -= n;
                        if queue[0].1 == 0 {
                            let call = queue.remove(0).0;
                            met.extend(call);
                            whole += u64::from(call.is_some());
                            if let Some(call) = call.filter(|c| known[*c] != Known::Over) {
                                known[call] = Known::Written;
                                prop_assert_eq!(&events[..], &[LinkEvent::Written(key(call))]);
                                events.clear();
                            }
                        }
                    }
                }
                Step::Answer(n, how, cut) if !known.is_empty() => {
                    let n = n % known.len();
                    if !met.contains(&n) {
                        continue;
                    }
                    let word = ["served", "broke", "skipped"][how];
                    let bytes = frame('a', &format!("9b1f.{n} {word} 1 -\nvalue"));
                    let cut = cut % bytes.len();
                    for half in [&bytes[..cut], &bytes[cut..]] {
                        link.input().extend(half);
                        prop_assert!(link.read(&mut events).is_ok());
                    }
                    if std::mem::replace(&mut known[n], Known::Over) == Known::Written {
                        expected.insert(n, [None, Some(Outcome::Error), Some(Outcome::Rejected)][how]);
                    }
                }
                Step::TakeBack => {
                    link.take_back(&mut events);
                    queue.retain(|q| q.1 < q.2 || q.0.is_none() || {
                        expected.insert(q.0.unwrap_or_default(), Some(Outcome::NotSent));
                        false
                    });
                    expected.keys().for_each(|n| known[*n] = Known::Over);
                }
                Step::Restart => {
                    let may = !known.contains(&Known::Written) && known.iter().any(|k| matches!(k, Known::Left(_)));
                    prop_assert_eq!(link.restart(), may);
                    if may {
                        queue.retain(|q| q.0.is_some_and(|n| known[n] != Known::Over));
                        queue.iter_mut().for_each(|q| q.1 = q.2);
                        wire.clear();
                        met.clear();
                    }
                }
                Step::Break => {
                    link.broken(&mut events);
                    for (n, k) in known.iter_mut().enumerate() {
                        match std::mem::replace(k, Known::Over) {
                            Known::Over => continue,
                            Known::Written => expected.insert(n, Some(Outcome::Reset)),
                            Known::Left(_) => expected.insert(n, Some(Outcome::ConnectFailed)),
                        };
                    }
                    broken = true;
                }
                _ => continue,
            }
            let got: BTreeMap<usize, Option<Outcome>> = events.iter().filter_map(|e| match e {
                LinkEvent::Ended(k, AttemptEnd::Served(v)) => {
                    assert_eq!(&v[..], b"value");
                    Some((k.part.0 as usize, None))
                }
                LinkEvent::Ended(k, AttemptEnd::Failed(o)) => Some((k.part.0 as usize, Some(*o))),
                _ => None,
            }).collect();
            prop_assert_eq!(got.len(), events.len(), "one end each: {:?}", events);
            prop_assert_eq!(got, expected);
            prop_assert_eq!(tally.attempts.get(), whole);
            if broken {
                prop_assert!(link.idle());
                queue.clear();
                wire.clear();
                met.clear();
            }
            let written = frames(&wire);
            for (n, k) in known.iter().enumerate().filter(|(_, k)| **k == Known::Written) {
                let id = format!("9b1f.{n} ");
                let calls = written.iter().filter(|f| f.0 == 'q' && f.1.starts_with(&id)).count();
                prop_assert_eq!(calls, 1, "part {} is {:?}", n, k);
            }
        }
    }

    #[test]
    fn an_operators_call_is_known_by_its_first_line_however_it_is_cut(
        line in prop_oneof![Just("HEALTH".to_owned()), Just("DUMP".to_owned()), "[ -~]{0,300}"],
        end in prop_oneof![Just("\n"), Just("\r\n"), Just("")],
        cuts in vec(1usize..90, 1..20),
    ) {
        let bytes = format!("{line}{end}");
        let (mut caller, mut rest, mut cuts) = (AdminConnection::default(), bytes.as_bytes(), cuts.into_iter().cycle());
        let mut call = caller.command(false);
        while call.is_none() && !rest.is_empty() {
            let (now, later) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            caller.input.extend(now);
            rest = later;
            call = caller.command(false);
        }
        prop_assert!(call.is_some() || end.is_empty(), "a whole line is a call");
        let known = match line.trim() {
            "HEALTH" => Some(AdminCommand::Health),
            "DUMP" => Some(AdminCommand::Dump),
            _ => Some(AdminCommand::Unknown),
        };
        prop_assert_eq!(call.or(caller.command(true)), known.filter(|_| !bytes.is_empty()));
    }

    #[test]
    fn requests_come_out_whole_one_at_a_time_however_they_are_cut(
        bodies in vec((vec(any::<u8>(), 0..200), any::<bool>()), 1..5),
        cuts in vec(1usize..120, 1..60),
        writes in vec(1usize..150, 1..60),
    ) {
        let mut bytes = Vec::new();
        for (body, chunked) in &bodies {
            if *chunked {
                bytes.extend_from_slice(b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
                for part in body.chunks(7) {
                    bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                    bytes.extend_from_slice(part);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
            } else {
                bytes.extend_from_slice(format!("POST /api HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes());
                bytes.extend_from_slice(body);
            }
        }
        let (mut server, mut got, mut out) = (ServerConnection::default(), Vec::new(), Vec::new());
        let (mut cuts, mut writes) = (cuts.into_iter().cycle(), writes.into_iter().cycle());
        let mut rest = &bytes[..];
        loop {
            let n = cuts.next().unwrap_or(1).min(rest.len());
            server.input().extend(&rest[..n]);
            rest = &rest[n..];
            if let Some(request) = server.next_request() {
                got.push(request.expect("well formed").body);
                prop_assert!(server.next_request().is_none(), "the next one waits for the answer");
                prop_assert!(server.awaits_response() && !server.is_idle() && !server.is_finished());
                server.respond(Response::new(200, "text/plain", got.len().to_string()), got.len() == bodies.len());
            }
            let n = writes.next().unwrap_or(1).min(server.output().len());
            out.extend_from_slice(&server.output()[..n]);
            server.advance_output(n);
            if server.is_finished() {
                break;
            }
        }
        let sent: Vec<_> = bodies.into_iter().map(|b| b.0).collect();
        prop_assert_eq!(&got, &sent);
        let out = String::from_utf8(out).expect("text");
        prop_assert_eq!(out.matches("HTTP/1.1 200 OK").count(), sent.len());
        prop_assert_eq!(out.matches("Connection: close").count(), 1);
    }

    #[test]
    fn no_bytes_make_a_connection_panic_or_grow_without_end(chunks in vec(vec(any::<u8>(), 0..400), 0..20), text in "[ -~\r\n]{0,600}") {
        let (mut server, mut link) = (ServerConnection::default(), Link::default());
        let mut events = Vec::new();
        let mut sound = true;
        for chunk in chunks.iter().map(Vec::as_slice).chain([text.as_bytes()]) {
            server.input().extend(chunk);
            if let Some(Err(error)) = server.next_request() {
                prop_assert!((400..=501).contains(&error.status()));
                server.respond(Response::new(error.status(), "", ""), true);
                server.advance_output(server.output().len());
                prop_assert!(server.is_finished());
            }
            if sound {
                link.input().extend(chunk);
                sound = link.read(&mut events).is_ok();
            }
        }
        server.end_of_input();
        let _ = server.next_request();
        prop_assert!(server.awaits_response() || server.input().capacity() < 128 * 1024);
    }
}

#[test]
fn only_a_sound_answer_is_an_answer_and_its_report_may_be_anything() {
    // An unknown id was passed over, and its part waited in vain; values came as they were, with the next frame's head.
    for (text, sound) in ODD {
        let (mut link, mut events) = (Link::default(), Vec::new());
        link.call(&[job(0)]);
        link.wrote(link.output().len(), &mut events);
        events.clear();
        link.input().extend(&frame('a', text));
        assert_eq!(link.read(&mut events).is_ok(), sound, "{text:?}");
        assert_eq!(events.len(), usize::from(sound), "{text:?}");
        let served =
            matches!(&events[..], [LinkEvent::Ended(_, AttemptEnd::Served(v))] if &v[..] == b"value");
        assert_eq!(served, sound && text.contains("served"), "{text:?}");
        events.clear();
        link.broken(&mut events);
        let reset = [LinkEvent::Ended(key(0), AttemptEnd::Failed(Outcome::Reset))];
        assert_eq!(&events[..], if sound { &[][..] } else { &reset[..] }, "it may have run: {text:?}");
    }
}

#[test]
fn copies_and_late_answers_spoil_nothing_and_half_a_frame_shows() {
    let (mut link, mut events) = (Link::default(), Vec::new());
    link.call(&[job(0)]);
    link.call(&[job(1)]);
    while !link.output().is_empty() {
        link.wrote(link.output().len(), &mut events);
    }
    link.call_off(key(1));
    let answer = |n: usize| frame('a', &format!("9b1f.{n} served 1 -\nvalue"));
    events.clear();
    for bytes in [answer(0), answer(0), answer(1)] {
        link.input().extend(&bytes);
    }
    assert_eq!(link.read(&mut events).ok(), Some(3));
    assert_eq!(events.len(), 1, "{events:?}");
    assert!(!link.partial());
    // A length that does not fit: nothing may come after it that would be taken for its end.
    link.input().extend(&answer(0)[..9]);
    assert_eq!(link.read(&mut events).ok(), Some(0));
    assert!(link.partial());
}

#[test]
fn of_a_call_only_the_parts_that_are_not_given_up_go_out_whatever_is_given_up_when() {
    // A part was taken out of its frame only where it was the only one: of a call of several, all went out to the node after
    // their query was over, each with a cancel behind it.
    for gone in 0..8_usize {
        for (begun, restarts) in [(false, false), (true, false), (false, true), (true, true)] {
            let (mut link, mut events, mut wire) = (Link::default(), Vec::new(), Vec::new());
            link.call(&[job(0), job(1), job(2)]);
            if begun {
                wire.extend_from_slice(&link.output()[..7]);
                link.wrote(7, &mut events);
                assert_eq!(events, [0, 1, 2].map(|n| LinkEvent::Begun(key(n))));
            }
            events.clear();
            let given_up = |n: usize| gone & (1 << n) > 0;
            (0..3).filter(|n| given_up(*n)).for_each(|n| link.call_off(key(n)));
            if restarts {
                assert_eq!(link.restart(), gone < 7, "the rest is owed another connection");
                wire.clear();
            }
            while !link.output().is_empty() {
                wire.extend_from_slice(link.output());
                link.wrote(link.output().len(), &mut events);
            }
            let went: Vec<_> = (0..3).filter(|n| !given_up(*n)).collect();
            assert_eq!(events, went.iter().map(|n| LinkEvent::Written(key(*n))).collect::<Vec<_>>());
            let on_wire = |n: usize| format!("9b1f.{n} {n} d=240 8\nc41e77d0");
            let (all, left) =
                ((0..3).map(on_wire).collect::<String>(), went.iter().map(|n| on_wire(*n)).collect());
            let mut expected = vec![];
            let whole = begun && !restarts;
            if whole || (!went.is_empty()) {
                expected.push(('q', if whole { all } else { left }));
            }
            if whole {
                expected.extend((0..3).filter(|n| given_up(*n)).map(|n| ('c', format!("9b1f.{n}"))));
            }
            if !(restarts && gone == 7) {
                assert_eq!(frames(&wire), expected, "given up {gone:b}, begun {begun}, anew {restarts}");
            }
        }
    }
}

#[test]
fn a_late_answer_is_not_taken_for_the_next_attempts() {
    // Both attempts at a part have one id. A late "broke" or "skipped" to the one that was given up ended the other, which
    // was out: the part went out a third time beside it.
    let again =
        |attempt| AttemptRequest { key: AttemptKey { attempt: AttemptNo(attempt), ..key(1) }, ..job(1) };
    let (mut link, mut events) = (Link::default(), Vec::new());
    link.call(&[job(0), job(1)]);
    link.wrote(link.output().len(), &mut events);
    assert!(!link.owes(&again(1)), "it is out here, and asked for nowhere else");
    link.call_off(key(1));
    link.wrote(link.output().len(), &mut events);
    assert!(link.owes(&again(1)), "it may still be answered");
    assert!(!link.owes(&AttemptRequest { request_id: "9b20".into(), ..again(1) }) && !link.owes(&job(2)));
    link.input().extend(&frame('a', "9b1f.1 skipped 1 -\n"));
    assert_eq!(link.read(&mut events).ok(), Some(1));
    assert!(!link.owes(&again(1)), "now it is answered");
    link.input().extend(&frame('a', "9b1f.0 skipped 1 -\n"));
    assert_eq!(link.read(&mut events).ok(), Some(1));
    assert!(
        !link.owes(&AttemptRequest { key: AttemptKey { attempt: AttemptNo(1), ..key(0) }, ..job(0) }),
        "answered in time"
    );
}

#[test]
fn what_comes_behind_a_request_never_stops_the_reading_of_it_and_costs_it_no_answer() {
    // With 80 KB behind its request a client was not read from any more, so nobody saw that it left.
    let mut server = ServerConnection::default();
    server.input().extend(b"GET /up HTTP/1.1\r\n\r\n");
    assert!(matches!(server.next_request(), Some(Ok(_))) && server.awaits_response());
    let mut kept = 0;
    for _ in 0..12 {
        assert!(
            server.wants_input() || server.discard_excess(),
            "what is here is dropped, and reading goes on"
        );
        server.input().extend(&[b'x'; 20_000]);
        kept = kept.max(server.memory());
    }
    assert!(kept < 400_000, "{kept} bytes");
    server.respond(Response::new(200, "", "ok"), false);
    assert!(
        server.output().starts_with(b"HTTP/1.1 200 OK\r\nConnection: close\r\n"),
        "the rest is not looked at"
    );
    assert!(server.next_request().is_none());
    server.advance_output(server.output().len());
    assert!(server.is_finished() && server.must_linger(), "a close on unread bytes is a reset");
    for _ in 0..200 {
        server.input().extend(&[b'x'; 20_000]);
        assert!(!server.discard_excess(), "nobody is waited for any more");
        server.input().consume(20_000);
    }
}

#[test]
fn what_is_malformed_gets_a_fitting_status() {
    let status = |text: &str| {
        let mut server = ServerConnection::default();
        server.input().extend(text.as_bytes());
        let first = server.next_request();
        server.end_of_input();
        let error = first.or_else(|| server.next_request()).and_then(Result::err);
        if let Some(e) = error {
            // A client that went away in the middle of a request had the worker say so without end.
            assert!(server.next_request().is_none());
            server.respond(Response::new(e.status(), "", ""), true);
            assert!(server.next_request().is_none());
        }
        error.map(|e| e.status())
    };
    let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    let headers = format!("GET / HTTP/1.1\r\n{}\r\n", "X: y\r\n".repeat(100));
    let chunks = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        "ff\r\n".to_owned() + &"x".repeat(300)
    );
    let cases = [
        ("\0\0\0", Some(400)),
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", Some(400)),
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", Some(400)),
        ("GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", Some(400)),
        ("GET / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", Some(413)),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", Some(413)),
        ("GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", Some(501)),
        ("GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc", Some(400)),
        ("GET / HT", Some(400)),
        (&long, Some(431)),
        (&headers, Some(431)),
        (&chunks, Some(400)),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(status(text), expected, "{:?}", &text[..text.len().min(80)]);
    }
}

#[test]
fn an_idle_connection_told_to_close_still_takes_the_request_that_is_here() {
    // A request that crossed the closing was dropped unread.
    let mut server = ServerConnection::default();
    server.close_when_idle();
    server.input().extend(b"GET /up HTTP/1.1\r\n\r\n");
    assert!(matches!(server.next_request(), Some(Ok(_))));
    assert!(!server.is_finished());
    server.respond(Response::new(200, "", ""), false);
    assert!(String::from_utf8_lossy(server.output()).contains("Connection: close"));
}
