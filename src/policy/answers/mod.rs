//! The life cycle of a query: it is admitted or rejected, its parts are sent, it is answered or given up.

use super::admission::{omit_parts, wait_share, PartWait, LIGHT_PARTS};
use super::{attempts::may_retry, replicas::Target, DecisionPolicy};
use crate::interface::{Action, Class, Effect, Nanos};
use crate::queries::{FirstAnswer, Part, Query, QueryNo, Stage, WEIGHT_TOLERANCE};

/// How a query is to end.
enum FinalAction {
    Answer,
    /// Rejected if the client may safely retry it, failed otherwise.
    GiveUp,
}

impl DecisionPolicy {
    /// Advances an open query: admits or rejects it, sends its parts, and ends it when that is due.
    pub(super) fn advance(&mut self, number: QueryNo, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open(number) else { return };
        let class = self.context.settings.class(query.class).clone();
        if query.stage == Stage::Received && !self.admit(number, &class) {
            return self.finish(number, FinalAction::GiveUp, actions);
        }
        self.send_parts(number, &class, actions);
        let Some(query) = self.queries.get(number) else { return };
        if self.may_answer(query, &class) {
            self.finish(number, FinalAction::Answer, actions);
        } else if self.is_hopeless(query, &class) {
            self.finish(number, FinalAction::GiveUp, actions);
        }
    }

    /// Admits a query and omits parts that are not worth their cost; `false`: it is to be rejected.
    fn admit(&mut self, number: QueryNo, class: &Class) -> bool {
        let Some(query) = self.queries.get_mut(number) else { return false };
        let expected_wait = |part: &Part| {
            let target = Target { class: query.class, shard: part.shard };
            let candidate = self.endpoints.choose(target, &[], &self.context);
            let wait = candidate.map_or(f64::INFINITY, |candidate| candidate.expected_wait);
            PartWait { part: part.id, weight: part.weight, wait }
        };
        let mut waits: Vec<PartWait> = query.parts.iter().map(expected_wait).collect();
        waits.sort_by(|a, b| b.wait.total_cmp(&a.wait));
        let wait_share = wait_share(query, &waits, &self.context);
        let admitted = self.controller.admitted_share();
        if self.admission.rejects(query, wait_share, admitted, &self.context) {
            return false;
        }
        query.stage = Stage::FirstStep;
        omit_parts(query, &waits, class, admitted.min(LIGHT_PARTS.at(wait_share)), &self.context);
        self.queries.reindex(number);
        true
    }

    /// An answer is due when complete or, where parts may be missing, from the floor on near the objective.
    fn may_answer(&self, query: &Query, class: &Class) -> bool {
        let weight = query.answered_weight();
        let first = query.stage == Stage::FirstStep;
        let time = query.respond_by.saturating_sub(query.received_at) as f64;
        let answer_at = query.received_at + (self.context.settings.reduction.answer_after * time) as Nanos;
        let due = self.context.now >= answer_at && class.allows_partial();
        let required = first && weight >= class.required_share && class.required_share < 1.0;
        query.all_requested_answered() || required || (due && weight > 0.0 && weight >= class.min_share)
    }

    /// No answer of any value is possible any more.
    fn is_hopeless(&self, query: &Query, class: &Class) -> bool {
        let lost = |part: &&Part| !part.is_answered() && !part.is_in_flight() && !may_retry(part, class);
        let lost: f64 = query.step_parts().filter(lost).map(|part| part.weight).sum();
        let too_little = 1.0 - lost < class.min_share - WEIGHT_TOLERANCE;
        let unanswerable = if class.allows_partial() { too_little } else { lost > 0.0 };
        let worthless = class.late_weight <= 0.0 && self.context.now >= query.respond_by;
        self.context.now >= query.deadline || unanswerable || worthless
    }

    /// The only place where queries are answered, rejected or failed: checks rules 1, 2 and 5.
    fn finish(&mut self, number: QueryNo, action: FinalAction, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open_mut(number) else { return };
        let settings = &self.context.settings;
        let class = settings.class(query.class);
        let harmful = class.effect != Effect::Idempotent && query.parts.iter().any(Part::may_have_run);
        match action {
            FinalAction::Answer => {
                let Some(complete) = is_complete(query, class) else { return };
                actions.push(Action::Answer { query: query.id, complete });
                if query.first_answer.is_none() {
                    query.first_answer = Some(FirstAnswer { at: self.context.now, complete });
                    if class.follow_up_parts > 0 {
                        query.stage = Stage::FollowUp;
                        return;
                    }
                }
            }
            FinalAction::GiveUp if !harmful => {
                let drawn = 0.5 * self.context.rng.f64() / settings.reduction.retry_after_factor.max(1.0);
                let retry_after = settings.max_retry_after.map(|max| (max as f64 * (1.0 - drawn)) as Nanos);
                actions.push(Action::Reject { query: query.id, retry_after });
            }
            FinalAction::GiveUp => actions.push(Action::Fail(query.id)),
        }
        // Late parts of a sample continue up to the record limit; all others are cancelled.
        let sampled = query.sampled && !settings.reduction.skip_late_samples;
        let runs_on = |part: &Part| sampled && !part.follow_up && !part.is_answered();
        let cancelled = query.parts.iter().filter(|part| settings.cancellation && !runs_on(part));
        actions.extend(cancelled.flat_map(Part::cancellations));
        query.stage = Stage::Closed;
    }
}

/// Whether an answer given now is complete; `None`: rule 5 does not allow an answer yet.
fn is_complete(query: &Query, class: &Class) -> Option<bool> {
    let weight = query.answered_weight() + WEIGHT_TOLERANCE;
    let follow_up = query.stage == Stage::FollowUp;
    let floor = if follow_up { class.min_share } else { class.min_share.min(class.required_share) };
    // With all parts answered it is complete even if rounding left the sum of their weights below 1.
    let all = query.all_answered();
    if !all && (weight < floor || (follow_up && !class.allows_partial())) {
        return None;
    }
    let enough = all || (!follow_up && weight >= class.required_share);
    Some(enough && query.first_answer.is_none_or(|first| first.complete))
}
