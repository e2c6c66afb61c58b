//! Checks a recorded history for violations of the service's rules. The history is the only input.
//!
//! Time limits are the documented ones, with a slack, plus the delay that sleeping threads measured
//! between the two compared times, since the machine may be slow. All other rules are checked
//! strictly.

use crate::history::{AttemptRecord, Class, Content, History, RequestEnd, RequestRecord};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// The time by which an answer may exceed the timeout of its query.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// The time after a client has disconnected from which on no attempt may be received for its query.
const DISCONNECT_SLACK: Duration = Duration::from_millis(100);
/// The time after the answer to a query from which on no attempt may be received for it. An attempt
/// may have been in transit when the answer was sent.
const ANSWERED_SLACK: Duration = Duration::from_millis(100);
/// The time after the announcement of a server's drain from which on it may receive no attempt.
const DRAIN_SLACK: Duration = Duration::from_millis(300);
/// The time after SIGTERM from which on a request may be lost if it is unanswered at the SIGKILL.
const KILL_LOSS_ALLOWED_AFTER_TERM: Duration = Duration::from_millis(700);
/// The time after SIGTERM for which the process accepts new connections.
const ACCEPT_PERIOD_AFTER_TERM: Duration = Duration::from_millis(400);

/// A rule of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request that the process has read gets one complete response in time.
    Answer,
    /// The content of a response is correct.
    Content,
    /// The process does not reset a connection with a request that it has read.
    Close,
    /// No attempt is sent for a query after its client has disconnected.
    ClientDisconnected,
    /// No attempt is sent for a query after its answer.
    FinalAnswer,
    /// A part of a non-idempotent query is not executed twice.
    Duplicate,
    /// A non-idempotent query of which a part may have been executed is not rejected, since its
    /// client may then send it again.
    Rejection,
    /// No attempt is sent to a draining server.
    Drain,
    /// Connections are accepted whenever a process is ready.
    Accept,
    /// A process that gets SIGTERM exits with success before the SIGKILL.
    Exit,
    /// No invariant is violated.
    Invariant,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub rule: Rule,
    /// The request concerned, if there is one.
    pub request: Option<usize>,
    pub text: String,
}

/// The reason why the loss of a request is allowed, as documented.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AllowedLoss {
    /// The process closed the connection before it read the request. The client has to send the
    /// request again on a new connection.
    CrossedClose,
    /// The request was sent more than [`KILL_LOSS_ALLOWED_AFTER_TERM`] after SIGTERM and was
    /// unanswered at the SIGKILL.
    KilledWhileDraining,
    /// The request was unanswered when its process was killed without a SIGTERM.
    KilledWithoutTerm,
}

/// Returns the violations of all rules.
pub fn violations(history: &History) -> Vec<Violation> {
    let attempts = attempts_by_request(history);
    let mut found = Vec::new();
    for request in &history.requests {
        let of_request = attempts.get(&request.number).map_or(&[][..], Vec::as_slice);
        found.extend(check_end(history, request, of_request));
        found.extend(check_attempts(history, request, of_request));
    }
    found.extend(check_drains(history));
    found.extend(check_refused_connects(history));
    found.extend(check_processes(history));
    found
}

/// Returns the numbers of lost requests whose loss is allowed, by reason.
pub fn allowed_losses(history: &History) -> BTreeMap<AllowedLoss, usize> {
    let attempts = attempts_by_request(history);
    let mut counts = BTreeMap::new();
    for request in &history.requests {
        let attempted = attempts.contains_key(&request.number);
        if let Some(loss) = allowed_loss(history, request, attempted) {
            *counts.entry(loss).or_default() += 1;
        }
    }
    counts
}

fn attempts_by_request(history: &History) -> HashMap<usize, Vec<&AttemptRecord>> {
    let mut by_request: HashMap<usize, Vec<&AttemptRecord>> = HashMap::new();
    for attempt in &history.attempts {
        by_request.entry(attempt.request).or_default().push(attempt);
    }
    by_request
}

fn violation(rule: Rule, request: &RequestRecord, text: impl Into<String>) -> Violation {
    Violation {
        rule,
        request: Some(request.number),
        text: text.into(),
    }
}

/// Returns why the loss of a request is allowed; `None` if the request was not lost or its loss is
/// not allowed.
fn allowed_loss(
    history: &History,
    request: &RequestRecord,
    attempted: bool,
) -> Option<AllowedLoss> {
    if !matches!(
        request.end,
        RequestEnd::ConnectionEnded { .. } | RequestEnd::TimedOut
    ) {
        return None;
    }
    for process in &history.processes {
        let Some(killed_at) = process.killed_at else {
            continue;
        };
        let was_pending = request.sent_at <= killed_at && request.ended_at >= killed_at;
        match process.terminated_at {
            None if was_pending => return Some(AllowedLoss::KilledWithoutTerm),
            Some(at) if was_pending && request.sent_at > at + KILL_LOSS_ALLOWED_AFTER_TERM => {
                return Some(AllowedLoss::KilledWhileDraining)
            }
            _ => {}
        }
    }
    let connection_ended = matches!(request.end, RequestEnd::ConnectionEnded { .. });
    (connection_ended && !attempted).then_some(AllowedLoss::CrossedClose)
}

/// Checks the time and the content of the response, or that the lack of one is allowed.
fn check_end(
    history: &History,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<Violation> {
    let latest = request.sent_at + request.timeout + ANSWER_SLACK;
    let latest = latest + history.delay_between(request.sent_at, request.ended_at);
    match &request.end {
        RequestEnd::Answered { .. } if request.ended_at > latest => Some(violation(
            Rule::Answer,
            request,
            format!(
                "answered at {:?}, at the latest allowed at {latest:?}",
                request.ended_at
            ),
        )),
        RequestEnd::Answered { status, content } => check_content(request, *status, content),
        RequestEnd::ClientDisconnected => None,
        end if allowed_loss(history, request, !attempts.is_empty()).is_some() => {
            let _ = end;
            None
        }
        RequestEnd::ConnectionEnded { reset: true } => Some(violation(
            Rule::Close,
            request,
            "connection reset without a response after an attempt was sent",
        )),
        RequestEnd::ConnectionEnded { reset: false } => Some(violation(
            Rule::Answer,
            request,
            "connection closed without a response after an attempt was sent",
        )),
        RequestEnd::TimedOut => Some(violation(Rule::Answer, request, "no response in time")),
    }
}

fn check_content(request: &RequestRecord, status: u16, content: &Content) -> Option<Violation> {
    let wrong = |text: String| Some(violation(Rule::Content, request, text));
    match (status, content, request.class) {
        (_, Content::Wrong(text), _) => wrong(text.clone()),
        (200, Content::Error, _) => wrong("status 200 without an answer".to_owned()),
        (200, Content::Partial, Class::Complete | Class::NonIdempotent) => {
            wrong("partial answer of a class that needs all parts".to_owned())
        }
        (200, _, _) | (409 | 410 | 429 | 500..=599, Content::Error, _) => None,
        _ => wrong(format!(
            "unexpected status {status} with content {content:?}"
        )),
    }
}

/// Checks the times of a query's attempts, and for a non-idempotent query their number.
fn check_attempts(
    history: &History,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Vec<Violation> {
    let mut found = Vec::new();
    let (rule, slack) = match request.end {
        RequestEnd::ClientDisconnected => (Rule::ClientDisconnected, DISCONNECT_SLACK),
        _ => (Rule::FinalAnswer, ANSWERED_SLACK),
    };
    for attempt in attempts {
        let delay = history.delay_between(request.ended_at, attempt.received_at);
        if attempt.received_at > request.ended_at + slack + delay {
            let text = format!(
                "attempt at part {} received at {:?}",
                attempt.part, attempt.received_at
            );
            found.push(violation(rule, request, text));
        }
    }
    if request.class == Class::NonIdempotent {
        found.extend(check_executions(request, attempts));
    }
    found
}

/// Checks that no part of a non-idempotent query was sent twice, and that the query was not rejected
/// after a part was sent. Attempts that a server rejected do not count.
fn check_executions(request: &RequestRecord, attempts: &[&AttemptRecord]) -> Vec<Violation> {
    let mut sent_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| !attempt.rejected) {
        *sent_counts.entry(&attempt.part).or_default() += 1;
    }
    let mut found = Vec::new();
    if let RequestEnd::Answered {
        status: status @ (429 | 503),
        ..
    } = request.end
    {
        found.extend(sent_counts.keys().map(|part| {
            let text = format!("status {status} after part {part} was sent");
            violation(Rule::Rejection, request, text)
        }));
    }
    let repeated = sent_counts.iter().filter(|(_, count)| **count > 1);
    found.extend(repeated.map(|(part, count)| {
        let text = format!("part {part} sent {count} times");
        violation(Rule::Duplicate, request, text)
    }));
    found
}

/// Checks that draining servers received no attempts.
fn check_drains(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &history.drains {
        for attempt in history
            .attempts
            .iter()
            .filter(|attempt| attempt.server == drain.server)
        {
            let delay = history.delay_between(drain.announced_at, attempt.received_at);
            let from = drain.announced_at + DRAIN_SLACK + delay;
            if attempt.received_at > from && attempt.received_at < drain.ended_at {
                found.push(Violation {
                    rule: Rule::Drain,
                    request: Some(attempt.request),
                    text: format!(
                        "server {}, draining since {:?}, received an attempt at part {} at {:?}",
                        drain.server, drain.announced_at, attempt.part, attempt.received_at
                    ),
                });
            }
        }
    }
    found
}

/// Checks that no connection was refused while a process was ready.
fn check_refused_connects(history: &History) -> Vec<Violation> {
    let is_any_process_ready = |at: Duration| {
        history.processes.iter().any(|process| {
            let ready = process.ready_at.is_some_and(|ready| ready <= at);
            let accepts_until = process
                .terminated_at
                .map(|at| at + ACCEPT_PERIOD_AFTER_TERM);
            let before = |end: Option<Duration>| end.is_none_or(|end| at < end);
            ready && before(accepts_until) && before(process.killed_at)
        })
    };
    let refused = history
        .refused_connects
        .iter()
        .filter(|refused| is_any_process_ready(refused.at));
    let accept_violation = |text| Violation {
        rule: Rule::Accept,
        request: None,
        text,
    };
    refused
        .map(|refused| accept_violation(format!("connection refused at {:?}", refused.at)))
        .collect()
}

/// Checks the exits and the counters of the processes.
fn check_processes(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut add = |rule, text: String| {
        found.push(Violation {
            rule,
            request: None,
            text,
        });
    };
    for (index, process) in history.processes.iter().enumerate() {
        if process.killed_at.is_some() && process.terminated_at.is_some() {
            add(
                Rule::Exit,
                format!("process {index} was killed after SIGTERM: {process:?}"),
            );
        }
        if let Some((due, exited)) = process.kill_due_at.zip(process.exited_at) {
            let terminated = process.terminated_at.unwrap_or(due);
            if exited > due + history.delay_between(terminated, exited) {
                add(
                    Rule::Exit,
                    format!(
                        "process {index} exited at {exited:?}, after the kill was due at {due:?}"
                    ),
                );
            }
        }
        if process.killed_at.is_none() && !process.exited_with_success {
            add(
                Rule::Exit,
                format!("process {index} did not exit with success"),
            );
        }
        match process.broken_invariants {
            Some(0) => {}
            None if process.killed_at.is_some() => {}
            other => add(
                Rule::Invariant,
                format!("process {index}: number of violated invariants is {other:?}"),
            ),
        }
    }
    found
}
