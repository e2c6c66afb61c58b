//! Parts on their way: first and further attempts, within every rule on sending.

use super::*;

/// After this fraction of the least aim an unused connection is idle.
const STALE: u64 = 4;
/// Ticks at the edges of the retry budget's window that count against it.
const EDGE_TICKS: u64 = 2;
/// Share of sends that still use idle connections where those are dropped unseen, to learn when it ends.
const IDLE_SAMPLE: f64 = 0.2;

impl DecisionPolicy {
    /// Rule 6: retries left in the window, never optimistic at its edge.
    fn retries_left(&self) -> f64 {
        let Some(b) = self.settings.retry_budget else { return f64::INFINITY };
        self.retries.available(self.now, b.free, b.ratio, b.window, self.settings.ticks(EDGE_TICKS))
    }

    /// The one way out for a part. Every rule on sending is checked here, whatever decided to send.
    fn send(&mut self, key: PartKey, replica: ReplicaId, timeout: Nanos, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open(key.query) else { return };
        let (Some(part), Some(r)) = (query.parts.get(key.index), self.replicas.get(&replica)) else { return };
        let class = self.settings.class(query.class);
        let first_risk = part.attempts.iter().find(|attempt| attempt.may_have_run());
        let not_after = match (class.effect, first_risk) {
            (Effect::Idempotent, _) | (_, None) => Nanos::MAX,
            (Effect::Deduplicated(window), Some(attempt)) => {
                (attempt.sent_at + window).saturating_sub(self.settings.ticks(END_TICKS))
            }
            (Effect::NonIdempotent, Some(_)) => 0,
        };
        let work = self.work(query.class);
        let in_flight = part.in_flight().count();
        let retry = !part.attempts.is_empty();
        let allowed = part.follow_up == (query.stage == Stage::FollowUp)
            && !part.is_answered()
            && self.now < query.deadline
            && self.now < not_after
            && r.ready
            && self.rotation.holds(part.shard, replica)
            && r.slow_start.admits(work, &self.settings, self.now)
            && (part.attempts.len() as u32) < class.max_attempts.max(1)
            && (in_flight == 0 || (self.settings.hedging && in_flight < 2))
            && (!retry || self.retries_left() >= 1.0);
        if !allowed {
            return;
        }
        let (id, shard, class, now) = (part.id, part.shard, query.class, self.now);
        let attempt = AttemptNo(part.attempts.len() as u16);
        let fresh = now.saturating_sub(self.settings.min_latency_objective() / STALE);
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        if r.used < now && r.flights.is_empty() {
            // Dropped idle connections are met by closing them, but for a sample that tells when it ends.
            let idle = (1..fresh).contains(&r.used);
            let close = idle && reaped(&self.connections) && self.rng.f64() > IDLE_SAMPLE;
            actions.extend(close.then_some(Action::CloseIdle(replica)));
            r.idle = idle && !close;
        }
        if r.used > 0 && r.used < now {
            self.connections.record_reuse(now - r.used);
        }
        r.used = now;
        r.flights.insert((now, id, attempt));
        let (idle, place) = (r.idle, r.flights.len() as f64);
        r.slow_start.record_send(work, self.settings.slow_start, now, &mut self.rng);
        self.rotation.advance(shard);
        if let Some(part) = self.queries.part_mut(key) {
            part.attempts.push(Attempt { replica, sent_at: now, outcome: None });
        }
        self.flights.insert((id, attempt), (replica, class, place, idle));
        if retry {
            self.retries.spend(now);
        }
        actions.push(Action::Send { part: id, replica, timeout, not_after });
    }

    /// May the rules of its class ever allow another attempt?
    pub(super) fn may_try(&self, part: &Part, class: &Class) -> bool {
        let again = class.effect != Effect::NonIdempotent || !part.may_have_run();
        again && (part.attempts.len() as u32) < class.max_attempts.max(1)
    }

    /// Sends what parts of a query are to be sent now, for the first time or again.
    pub(super) fn send_parts(&mut self, number: QueryNo, class: &Class, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(number) else { return };
        let count = query.parts.len();
        let (due, deadline) = (query.respond_by, query.deadline);
        let sampled = query.sampled && !self.settings.reduction.skip_late_samples;
        let (follow_up, id) = (query.stage == Stage::FollowUp, query.class);
        // Late worth is chased only while nothing is shed: otherwise a part not begun by the aim is dropped.
        let chase = sampled || (class.late_weight > 0.0 && self.controller.admitted_share() >= 1.0);
        let until = if chase || self.now >= due { deadline } else { due };
        let timeout = until.saturating_sub(self.now).max(self.settings.tick);
        for index in 0..count {
            let key = PartKey { query: number, index };
            let Some(part) = self.queries.part(key) else { return };
            if part.follow_up != follow_up
                || !part.requested
                || part.is_answered()
                || !self.may_try(part, class)
            {
                continue;
            }
            let tried: Vec<ReplicaId> = part.attempts.iter().map(|attempt| attempt.replica).collect();
            if tried.is_empty() {
                if let Some((replica, _)) = self.pick(id, part.shard, &[]) {
                    self.send(key, replica, timeout, actions);
                }
                continue;
            }
            let out = part.in_flight().next();
            let overdue =
                out.is_some_and(|a| (self.now - a.sent_at) as f64 > OVERDUE_RATIO * self.latency.baseline());
            if (out.is_some() && !overdue) || part.in_flight().count() > 1 || self.retries_left() < 1.0 {
                continue;
            }
            // Another replica, or when all were tried, one where this part is not out.
            let busy = out.map_or(vec![], |a| vec![a.replica]);
            let pick = self.pick(id, part.shard, &tried).or_else(|| self.pick(id, part.shard, &busy));
            let Some((replica, wait)) = pick else { continue };
            let in_time = self.now as f64 + wait < due as f64;
            // Where a part was turned away it goes again when that may be in time, or late anyhow.
            let late =
                out.is_none() && class.late_weight > 0.0 && (self.now >= due || !tried.contains(&replica));
            let stop =
                !self.settings.hedging && self.settings.cancellation && class.effect == Effect::Idempotent;
            match out {
                Some(_) if in_time && stop => actions.extend(part.cancellations()),
                _ if in_time || late || (out.is_some() && follow_up) => {
                    self.send(key, replica, timeout, actions)
                }
                _ => {}
            }
        }
    }
}
