//! Tests that the checker detects a violation of each rule, and accepts what is allowed.

use crate::checker::{allowed_losses, violations, AllowedLoss, Rule};
use crate::history::{
    AttemptRecord, Class, Content, Delay, DrainRecord, History, ProcessRecord, RefusedConnect,
    RequestEnd, RequestRecord,
};
use std::time::Duration;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn answered(status: u16, content: Content) -> RequestEnd {
    RequestEnd::Answered { status, content }
}

/// Returns a request that is sent at 100 ms with a timeout of 400 ms and ends at 300 ms.
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

/// Returns an attempt that is received at this time, in milliseconds.
fn attempt(at: u64) -> AttemptRecord {
    AttemptRecord {
        request: 1,
        part: "0".to_owned(),
        server: 2,
        received_at: ms(at),
        rejected: false,
    }
}

/// Returns a process that is ready at 50 ms, gets SIGTERM at 5 s, and exits at 6 s.
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

/// Returns a history without violations that has one request with one part.
fn valid_history() -> History {
    History {
        requests: vec![request(Class::Complete, answered(200, Content::Complete))],
        attempts: vec![attempt(120)],
        processes: vec![process()],
        ..History::default()
    }
}

/// Asserts that a change to the valid history violates this rule and no other.
#[track_caller]
fn assert_violates(rule: Rule, change: impl FnOnce(&mut History)) {
    let mut history = valid_history();
    change(&mut history);
    let found = violations(&history);
    assert!(
        !found.is_empty() && found.iter().all(|v| v.rule == rule),
        "{found:?}"
    );
}

/// Asserts that a change to the valid history violates no rule.
#[track_caller]
fn assert_no_violation(change: impl FnOnce(&mut History)) {
    let mut history = valid_history();
    change(&mut history);
    assert_eq!(violations(&history), []);
}

#[test]
fn valid_history_has_no_violation() {
    assert_no_violation(|_| {});
}

#[test]
fn answer_may_exceed_its_time_limit_only_by_the_measured_delay() {
    let late = |history: &mut History| history.requests[0].ended_at = ms(1_001);
    assert_violates(Rule::Answer, late);
    assert_no_violation(|history| {
        late(history);
        history.delays.push(Delay {
            ended_at: ms(600),
            length: ms(20),
        });
    });
    assert_violates(Rule::Answer, |history| {
        late(history);
        history.delays.push(Delay {
            ended_at: ms(90),
            length: ms(20),
        });
    });
    let never = |history: &mut History| history.requests[0].end = RequestEnd::TimedOut;
    assert_violates(Rule::Answer, never);
    let closed = RequestEnd::ConnectionEnded { reset: false };
    assert_violates(Rule::Answer, |history| {
        history.requests[0].end = closed.clone()
    });
}

#[test]
fn response_with_wrong_content_is_a_violation() {
    let wrong = Content::Wrong("wrong piece".to_owned());
    assert_violates(Rule::Content, |history| {
        history.requests[0].end = answered(200, wrong)
    });
    let partial = answered(200, Content::Partial);
    for class in [Class::Complete, Class::NonIdempotent] {
        let end = partial.clone();
        assert_violates(Rule::Content, |history| {
            history.requests[0] = request(class, end)
        });
    }
    assert_no_violation(|history| history.requests[0] = request(Class::Partial, partial));
    let no_answer = answered(200, Content::Error);
    assert_violates(Rule::Content, |history| history.requests[0].end = no_answer);
    let malformed = answered(400, Content::Error);
    assert_violates(Rule::Content, |history| history.requests[0].end = malformed);
    assert_no_violation(|history| history.requests[0].end = answered(503, Content::Error));
}

#[test]
fn reset_of_a_request_that_was_read_is_a_violation() {
    let reset = RequestEnd::ConnectionEnded { reset: true };
    assert_violates(Rule::Close, |history| {
        history.requests[0].end = reset.clone()
    });
    // Without an attempt, the process closed the connection before it read the request.
    let crossed = |history: &mut History| {
        history.requests[0].end = reset.clone();
        history.attempts.clear();
    };
    assert_no_violation(crossed);
    let mut history = valid_history();
    crossed(&mut history);
    assert_eq!(
        allowed_losses(&history),
        [(AllowedLoss::CrossedClose, 1)].into()
    );
}

#[test]
fn attempt_after_a_disconnect_or_an_answer_is_a_violation() {
    let attempt_after_disconnect = |history: &mut History, at| {
        history.requests[0].end = RequestEnd::ClientDisconnected;
        history.attempts.push(attempt(at));
    };
    assert_violates(Rule::ClientDisconnected, |history| {
        attempt_after_disconnect(history, 401)
    });
    assert_no_violation(|history| attempt_after_disconnect(history, 399));
    assert_violates(Rule::FinalAnswer, |history| {
        history.attempts.push(attempt(401))
    });
}

#[test]
fn second_attempt_of_a_non_idempotent_part_is_a_violation_unless_the_first_was_rejected() {
    let twice = |history: &mut History, rejected| {
        history.requests[0].class = Class::NonIdempotent;
        history.attempts[0].rejected = rejected;
        history.attempts.push(attempt(150));
    };
    assert_violates(Rule::Duplicate, |history| twice(history, false));
    assert_no_violation(|history| twice(history, true));
    assert_no_violation(|history| history.attempts.push(attempt(150)));
}

#[test]
fn rejection_of_a_non_idempotent_query_is_a_violation_if_a_part_was_sent() {
    let reject = |history: &mut History, class, rejected| {
        history.requests[0].class = class;
        history.requests[0].end = answered(503, Content::Error);
        history.attempts[0].rejected = rejected;
    };
    let non_idempotent = Class::NonIdempotent;
    assert_violates(Rule::Rejection, |history| {
        reject(history, non_idempotent, false)
    });
    assert_no_violation(|history| reject(history, non_idempotent, true));
    assert_no_violation(|history| reject(history, Class::Complete, false));
    assert_no_violation(|history| {
        reject(history, non_idempotent, false);
        history.requests[0].end = answered(502, Content::Error);
    });
}

#[test]
fn attempt_at_a_draining_server_is_a_violation() {
    let drain = |history: &mut History, server, announced_at| {
        history.attempts[0].received_at = ms(290);
        history.drains.push(DrainRecord {
            server,
            announced_at: ms(announced_at),
            ended_at: ms(2_000),
        });
    };
    assert_violates(Rule::Drain, |history| {
        drain(history, 2, 0);
        history.attempts[0].received_at = ms(301);
    });
    assert_no_violation(|history| drain(history, 2, 0));
    assert_no_violation(|history| drain(history, 1, 0));
}

#[test]
fn refused_connection_is_a_violation_while_a_process_is_ready() {
    let refused = |at| RefusedConnect { at: ms(at) };
    let serving = |history: &mut History| {
        history.processes.push(ProcessRecord {
            ready_at: Some(ms(6_500)),
            killed_at: Some(ms(9_000)),
            ..ProcessRecord::default()
        });
    };
    assert_violates(Rule::Accept, |history| {
        serving(history);
        history.refused_connects.push(refused(7_000));
    });
    assert_no_violation(|history| {
        serving(history);
        history
            .refused_connects
            .extend([refused(20), refused(9_001)]);
    });
    // New connections arrive for up to 0.4 s after SIGTERM.
    assert_violates(Rule::Accept, |history| {
        history.refused_connects.push(refused(5_399));
    });
    assert_no_violation(|history| history.refused_connects.push(refused(5_401)));
}

#[test]
fn failed_or_late_exit_and_violated_invariant_are_violations() {
    assert_violates(Rule::Exit, |history| {
        history.processes[0].exited_with_success = false
    });
    assert_violates(Rule::Exit, |history| {
        history.processes[0].killed_at = Some(ms(7_000))
    });
    assert_violates(Rule::Exit, |history| {
        history.processes[0].exited_at = Some(ms(7_301))
    });
    assert_violates(Rule::Invariant, |history| {
        history.processes[0].broken_invariants = Some(1)
    });
    assert_violates(Rule::Invariant, |history| {
        history.processes[0].broken_invariants = None
    });
}

#[test]
fn kill_allows_the_loss_of_requests_only_some_time_after_the_sigterm() {
    let unanswered_at_kill = |history: &mut History, sent_at| {
        history.requests[0].end = RequestEnd::ConnectionEnded { reset: true };
        history.requests[0].sent_at = ms(sent_at);
        history.requests[0].ended_at = ms(7_000);
        history.attempts[0].received_at = ms(6_900);
        history.processes[0].killed_at = Some(ms(6_990));
    };
    let has_violation = |sent_at| {
        let mut history = valid_history();
        unanswered_at_kill(&mut history, sent_at);
        let found = violations(&history);
        found.iter().any(|violation| violation.rule == Rule::Close)
    };
    assert!(
        has_violation(5_600),
        "a request sent 0.6 s after SIGTERM may not be lost"
    );
    assert!(
        !has_violation(5_800),
        "a request sent 0.8 s after SIGTERM may be lost"
    );
}
