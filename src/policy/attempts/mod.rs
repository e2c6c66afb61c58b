//! Attempts at parts: first attempts, retries and hedged requests, within the rules on sending.

use super::replicas::{is_overdue, Target};
use super::{DecisionPolicy, DEADLINE_MARGIN_TICKS};
use crate::interface::{Action, AttemptNo, Class, Effect, Nanos, ReplicaId, Settings};
use crate::queries::{Attempt, AttemptKey, Part, PartKey, Query, QueryNo, Stage};

/// Ticks at the edge of the retry budget's window that are counted to its disadvantage.
const EDGE_TICKS: u64 = 2;

/// What to do about a part at this time.
enum Step {
    Send(ReplicaId),
    Cancel,
    Wait,
}

impl DecisionPolicy {
    /// Sends, retries and cancels attempts at the parts of a query as needed.
    pub(super) fn send_parts(&mut self, number: QueryNo, class: &Class, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(number) else { return };
        let (now, settings) = (self.context.now, &self.context.settings);
        let sampled = query.sampled && !settings.reduction.skip_late_samples;
        // Late answers are pursued only while nothing is shed; otherwise no part is sent after the objective.
        let pursue = sampled || (class.late_weight > 0.0 && self.controller.admitted_share() >= 1.0);
        let end = if pursue || now >= query.respond_by { query.deadline } else { query.respond_by };
        let timeout = end.saturating_sub(now).max(settings.tick);
        for index in 0..query.parts.len() {
            let Some(query) = self.queries.get(number) else { return };
            let Some(part) = query.parts.get(index) else { return };
            match self.next_step(query, part, class) {
                Step::Send(replica) => {
                    self.dispatch(PartKey { query: number, index }, replica, timeout, actions);
                }
                Step::Cancel => actions.extend(part.cancellations()),
                Step::Wait => {}
            }
        }
    }

    fn next_step(&self, query: &Query, part: &Part, class: &Class) -> Step {
        let present = part.follow_up == (query.stage == Stage::FollowUp);
        if !present || !part.requested || part.is_answered() || !may_retry(part, class) {
            return Step::Wait;
        }
        let target = Target { class: query.class, shard: part.shard };
        let choose = |exclude: &[ReplicaId]| self.endpoints.choose(target, exclude, &self.context);
        let tried: Vec<ReplicaId> = part.attempts.iter().map(|attempt| attempt.replica).collect();
        if tried.is_empty() {
            return choose(&[]).map_or(Step::Wait, |candidate| Step::Send(candidate.replica));
        }
        let (now, settings) = (self.context.now, &self.context.settings);
        let in_flight = part.in_flight().next();
        let overdue = in_flight.is_some_and(|a| is_overdue(a.sent_at, &self.context));
        if (in_flight.is_some() && !overdue) || part.in_flight().count() > 1 || self.retries_left() < 1.0 {
            return Step::Wait;
        }
        // A replica that was not tried yet or, if all were, one where this part is not in flight.
        let busy = in_flight.map_or(vec![], |attempt| vec![attempt.replica]);
        let Some(candidate) = choose(&tried).or_else(|| choose(&busy)) else { return Step::Wait };
        let in_time = now as f64 + candidate.expected_wait < query.respond_by as f64;
        // A failed attempt is retried if the retry may be in time, or if the part is late in any case.
        let again = now >= query.respond_by || !tried.contains(&candidate.replica);
        let late = in_flight.is_none() && class.late_weight > 0.0 && again;
        let cancel = !settings.hedging && settings.cancellation && class.effect == Effect::Idempotent;
        if in_flight.is_some() && in_time && cancel {
            Step::Cancel
        } else if in_time || late || (in_flight.is_some() && part.follow_up) {
            Step::Send(candidate.replica)
        } else {
            Step::Wait
        }
    }

    /// Rule 6: the retries left in the budget's window, with a safety margin at its edge.
    fn retries_left(&self) -> f64 {
        let Some(budget) = self.context.settings.retry_budget else { return f64::INFINITY };
        let edge = self.context.settings.ticks(EDGE_TICKS);
        self.retries.available(self.context.now, budget.free, budget.ratio, budget.window, edge)
    }

    /// The only place where attempts are sent: checks every rule on sending, whatever decided to send.
    fn dispatch(&mut self, key: PartKey, replica: ReplicaId, timeout: Nanos, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open(key.query) else { return };
        let Some(part) = query.parts.get(key.index) else { return };
        let (now, settings) = (self.context.now, &self.context.settings);
        let class = settings.class(query.class);
        let target = Target { class: query.class, shard: part.shard };
        let not_after = not_after(part, class, settings);
        let in_flight = part.in_flight().count();
        let retry = !part.attempts.is_empty();
        let allowed = part.follow_up == (query.stage == Stage::FollowUp)
            && !part.is_answered()
            && now < query.deadline
            && now < not_after
            && self.endpoints.accepts(target, replica, &self.context)
            && may_retry(part, class)
            && (in_flight == 0 || (settings.hedging && in_flight < 2))
            && (!retry || self.retries_left() >= 1.0);
        if !allowed {
            return;
        }
        let attempt = AttemptKey { part: part.id, attempt: AttemptNo(part.attempts.len() as u16) };
        if self.endpoints.send(attempt, target, replica, &mut self.context) {
            actions.push(Action::CloseIdle(replica));
        }
        if let Some(part) = self.queries.part_mut(key) {
            part.attempts.push(Attempt { replica, sent_at: now, outcome: None });
        }
        if retry {
            self.retries.spend(now);
        }
        actions.push(Action::Send { part: attempt.part, replica, timeout, not_after });
    }
}

/// Rule 2: until when another attempt may be sent, given that an earlier one may have run.
fn not_after(part: &Part, class: &Class, settings: &Settings) -> Nanos {
    let first = part.attempts.iter().find(|attempt| attempt.may_have_run());
    match (class.effect, first) {
        (Effect::Idempotent, _) | (_, None) => Nanos::MAX,
        (Effect::Deduplicated(window), Some(first)) => {
            (first.sent_at + window).saturating_sub(settings.ticks(DEADLINE_MARGIN_TICKS))
        }
        (Effect::NonIdempotent, Some(_)) => 0,
    }
}

/// The rules of its class may allow another attempt at the part, now or later.
pub(super) fn may_retry(part: &Part, class: &Class) -> bool {
    let harmless = class.effect != Effect::NonIdempotent || !part.may_have_run();
    harmless && (part.attempts.len() as u32) < class.max_attempts.max(1)
}
