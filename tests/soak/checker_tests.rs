//! The checker can fail: for each rule a small history that breaks it, and what the pages allow.

use crate::checker::{allowed_losses, violations, AllowedLoss, Rule};
use crate::history::{
    Class, Content, Delay, DrainRecord, ForwardRecord, History, ProcessRecord, RefusedConnect,
    RequestEnd, RequestRecord,
};
use std::time::Duration;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn answered(status: u16, content: Content) -> RequestEnd {
    RequestEnd::Answered { status, content }
}

/// A request that is sent at 100 ms with a timeout of 400 ms and ends at 300 ms.
fn request(class: Class, end: RequestEnd) -> RequestRecord {
    RequestRecord {
        number: 1,
        class,
        sent_at: ms(100),
        timeout: ms(400),
        end,
        ended_at: ms(300),
    }
}

fn forward(at: u64) -> ForwardRecord {
    ForwardRecord {
        request: 1,
        part: "0".to_owned(),
        server: 2,
        received_at: ms(at),
        rejected: false,
    }
}

/// A process that is ready at 50 ms, told to end at 5 s, and exits.
fn process() -> ProcessRecord {
    ProcessRecord {
        ready_at: Some(ms(50)),
        terminated_at: Some(ms(5_000)),
        kill_due_at: Some(ms(7_300)),
        exited_at: Some(ms(6_000)),
        exited_with_success: true,
        broken_invariants: Some(0),
        ..ProcessRecord::default()
    }
}

/// A sound history of one request with one part.
fn sound() -> History {
    History {
        requests: vec![request(Class::Whole, answered(200, Content::Whole))],
        forwards: vec![forward(120)],
        processes: vec![process()],
        ..History::default()
    }
}

/// Asserts that a change to the sound history breaks exactly this rule.
#[track_caller]
fn assert_breaks(rule: Rule, change: impl FnOnce(&mut History)) {
    let mut history = sound();
    change(&mut history);
    let found = violations(&history);
    assert!(
        !found.is_empty() && found.iter().all(|v| v.rule == rule),
        "{found:?}"
    );
}

#[track_caller]
fn assert_sound(change: impl FnOnce(&mut History)) {
    let mut history = sound();
    change(&mut history);
    assert_eq!(violations(&history), []);
}

#[test]
fn a_sound_history_breaks_no_rule() {
    assert_sound(|_| {});
}

#[test]
fn an_answer_comes_in_time_but_for_the_delay_that_was_measured() {
    let late = |history: &mut History| history.requests[0].ended_at = ms(1_001);
    assert_breaks(Rule::Answer, late);
    assert_sound(|history| {
        late(history);
        history.delays.push(Delay {
            ended_at: ms(600),
            length: ms(20),
        });
    });
    assert_breaks(Rule::Answer, |history| {
        late(history);
        history.delays.push(Delay {
            ended_at: ms(90),
            length: ms(20),
        });
    });
    let never = |history: &mut History| history.requests[0].end = RequestEnd::NeverAnswered;
    assert_breaks(Rule::Answer, never);
    let closed = RequestEnd::Unanswered { reset: false };
    assert_breaks(Rule::Answer, |history| {
        history.requests[0].end = closed.clone()
    });
}

#[test]
fn a_response_holds_what_it_says() {
    let wrong = Content::Wrong("a wrong piece".to_owned());
    assert_breaks(Rule::Content, |history| {
        history.requests[0].end = answered(200, wrong)
    });
    let partial = answered(200, Content::Partial);
    for class in [Class::Whole, Class::Once] {
        let end = partial.clone();
        assert_breaks(Rule::Content, |history| {
            history.requests[0] = request(class, end)
        });
    }
    assert_sound(|history| history.requests[0] = request(Class::Partial, partial));
    let no_answer = answered(200, Content::Error);
    assert_breaks(Rule::Content, |history| history.requests[0].end = no_answer);
    let malformed = answered(400, Content::Error);
    assert_breaks(Rule::Content, |history| history.requests[0].end = malformed);
    assert_sound(|history| history.requests[0].end = answered(503, Content::Error));
}

#[test]
fn a_close_resets_nothing_that_was_read() {
    let reset = RequestEnd::Unanswered { reset: true };
    assert_breaks(Rule::Close, |history| {
        history.requests[0].end = reset.clone()
    });
    // A close that crosses a request that was not read: nothing of it was forwarded.
    let crossed = |history: &mut History| {
        history.requests[0].end = reset.clone();
        history.forwards.clear();
    };
    assert_sound(crossed);
    let mut history = sound();
    crossed(&mut history);
    assert_eq!(
        allowed_losses(&history),
        [(AllowedLoss::CrossedClose, 1)].into()
    );
}

#[test]
fn nothing_is_forwarded_after_the_client_left_or_has_its_answer() {
    let left = |history: &mut History, at| {
        history.requests[0].end = RequestEnd::ClientLeft;
        history.forwards.push(forward(at));
    };
    assert_breaks(Rule::ClientLeft, |history| left(history, 401));
    assert_sound(|history| left(history, 399));
    assert_breaks(Rule::FinalAnswer, |history| {
        history.forwards.push(forward(401))
    });
}

#[test]
fn a_part_that_must_not_run_twice_is_sent_once() {
    let twice = |history: &mut History, rejected| {
        history.requests[0].class = Class::Once;
        history.forwards[0].rejected = rejected;
        history.forwards.push(forward(150));
    };
    assert_breaks(Rule::Duplicate, |history| twice(history, false));
    assert_sound(|history| twice(history, true));
    assert_sound(|history| history.forwards.push(forward(150)));
}

#[test]
fn a_draining_server_gets_nothing_new() {
    let drain = |history: &mut History, server, told_at| {
        history.forwards[0].received_at = ms(290);
        history.drains.push(DrainRecord {
            server,
            told_at: ms(told_at),
            ended_at: ms(2_000),
        });
    };
    assert_breaks(Rule::Drain, |history| {
        drain(history, 2, 0);
        history.forwards[0].received_at = ms(301);
    });
    assert_sound(|history| drain(history, 2, 0));
    assert_sound(|history| drain(history, 1, 0));
}

#[test]
fn some_process_accepts_whenever_one_is_ready() {
    let refused = |at| RefusedConnect { at: ms(at) };
    let serving = |history: &mut History| {
        history.processes.push(ProcessRecord {
            ready_at: Some(ms(6_500)),
            killed_at: Some(ms(9_000)),
            ..ProcessRecord::default()
        });
    };
    assert_breaks(Rule::Accept, |history| {
        serving(history);
        history.refused_connects.push(refused(7_000));
    });
    assert_sound(|history| {
        serving(history);
        history
            .refused_connects
            .extend([refused(20), refused(9_001)]);
    });
    // New connections keep coming for up to 0.4 s after SIGTERM.
    assert_breaks(Rule::Accept, |history| {
        history.refused_connects.push(refused(5_399));
    });
    assert_sound(|history| history.refused_connects.push(refused(5_401)));
}

#[test]
fn a_process_exits_with_success_before_the_kill_and_breaks_no_invariant() {
    assert_breaks(Rule::Exit, |history| {
        history.processes[0].exited_with_success = false
    });
    assert_breaks(Rule::Exit, |history| {
        history.processes[0].killed_at = Some(ms(7_000))
    });
    assert_breaks(Rule::Exit, |history| {
        history.processes[0].exited_at = Some(ms(7_301))
    });
    assert_breaks(Rule::Invariant, |history| {
        history.processes[0].broken_invariants = Some(1)
    });
    assert_breaks(Rule::Invariant, |history| {
        history.processes[0].broken_invariants = None
    });
}

#[test]
fn a_kill_excuses_only_what_the_page_says() {
    let unanswered_at_kill = |history: &mut History, sent_at| {
        history.requests[0].end = RequestEnd::Unanswered { reset: true };
        history.requests[0].sent_at = ms(sent_at);
        history.requests[0].ended_at = ms(7_000);
        history.forwards[0].received_at = ms(6_900);
        history.processes[0].killed_at = Some(ms(6_990));
    };
    let breaks = |sent_at| {
        let mut history = sound();
        unanswered_at_kill(&mut history, sent_at);
        let found = violations(&history);
        found.iter().any(|violation| violation.rule == Rule::Close)
    };
    assert!(breaks(5_600), "it came 0.6 s after SIGTERM");
    assert!(!breaks(5_800), "it came 0.8 s after SIGTERM");
}
