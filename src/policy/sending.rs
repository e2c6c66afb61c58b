//! Parts on their way: first and further attempts, within every rule on sending.

use super::*;

/// After this fraction of the least aim an unused connection is idle.
const STALE: u64 = 4;
/// Ticks at the edges of the retry budget's window that count against it.
const EDGE_TICKS: u64 = 2;
/// Share of sends that still use idle connections where those are dropped unseen, to learn when it ends.
const IDLE_SAMPLE: f64 = 0.2;
/// What a turn goes on beyond an even step, so that in time it meets all of each share.
const SLIP: f64 = 0.01;

impl DecisionPolicy {
    /// Rule 6: retries left in the window, never optimistic at its edge.
    fn retries_left(&self) -> f64 {
        let Some(b) = self.settings.retry_budget else { return f64::INFINITY };
        self.retries.available(self.now, b.free, b.ratio, b.window, self.settings.ticks(EDGE_TICKS))
    }

    /// The one way out for a part. Every rule on sending is checked here, whatever decided to send.
    fn send(&mut self, (seq, at): PartAt, replica: ReplicaId, timeout: Nanos, actions: &mut Vec<Action>) {
        let left = self.retries_left();
        let Some(q) = self.queries.get(&seq) else { return };
        let (Some(p), Some(r)) = (q.parts.get(at), self.replicas.get(&replica)) else { return };
        let first_risk = p.attempts.iter().find(|a| a.may_have_run()).map(|a| a.at);
        let by = match (self.settings.class(q.class).effect, first_risk) {
            (Effect::Idempotent, _) | (_, None) => Nanos::MAX,
            (Effect::Deduplicated(window), Some(t)) => {
                (t + window).saturating_sub(self.settings.ticks(END_TICKS))
            }
            (Effect::NonIdempotent, Some(_)) => 0,
        };
        let holds = self.holders.get(p.shard.0 as usize).is_some_and(|h| h.iter().any(|h| h.0 == replica));
        let cost = self.cost(q.class);
        let further = !p.attempts.is_empty();
        let allowed = q.open()
            && p.second == (q.stage == Stage::Second)
            && p.came.is_none()
            && self.now < q.end
            && self.now < by
            && r.ready
            && holds
            && self.cold_room(r, p.class)
            && (p.attempts.len() as u32) < self.settings.class(q.class).max_attempts.max(1)
            && (p.out() == 0 || (self.settings.hedging && p.out() < 2))
            && (!further || left >= 1.0);
        if !allowed {
            return;
        }
        let (part, class, shard, now) = (p.id, q.class, p.shard.0 as usize, self.now);
        let attempt = AttemptNo(p.attempts.len() as u16);
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
        r.flights.insert((now, part, attempt));
        let (idle, place) = (r.idle, r.flights.len() as f64);
        if let Some(rule) = self.settings.slow_start {
            r.cold_sent.expire(now, rule.overload_window);
        }
        r.cold_sent.push(now, cost);
        r.cold_draw = exponential(&mut self.rng);
        self.turns[shard] = (self.turns[shard] + 1.0 / self.holders[shard].len() as f64 + SLIP).fract();
        if let Some(p) = self.queries.get_mut(&seq).and_then(|q| q.parts.get_mut(at)) {
            p.attempts.push(Attempt { replica, at: now, ended: None });
        }
        self.flights.insert((part, attempt), (replica, class, place, idle));
        if further {
            self.retries.spend(now);
        }
        actions.push(Action::Send { part, replica, timeout, not_after: by });
    }

    /// May the rules of its class ever allow another attempt?
    pub(super) fn may_try(&self, p: &Part, c: &Class) -> bool {
        let again = c.effect != Effect::NonIdempotent || !p.may_have_run();
        again && (p.attempts.len() as u32) < c.max_attempts.max(1)
    }

    pub(super) fn send_parts(&mut self, seq: u64, c: &Class, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&seq) else { return };
        let count = q.parts.len();
        let (due, end, sampled) = (q.due, q.end, q.sampled && !self.settings.reduction.skip_late_samples);
        let second = q.stage == Stage::Second;
        // Late worth is chased only while nothing is shed: otherwise a part not begun by the aim is dropped.
        let chase = sampled || (c.late_weight > 0.0 && self.controller.admitted_share() >= 1.0);
        let until = if chase || self.now >= due { end } else { due };
        let timeout = until.saturating_sub(self.now).max(self.settings.tick);
        for at in 0..count {
            let Some(p) = self.queries.get(&seq).and_then(|q| q.parts.get(at)) else { return };
            if p.second != second || !p.asked || p.came.is_some() || !self.may_try(p, c) {
                continue;
            }
            let tried: Vec<ReplicaId> = p.attempts.iter().map(|a| a.replica).collect();
            if tried.is_empty() {
                if let Some((r, _)) = self.pick(p, &[]) {
                    self.send((seq, at), r, timeout, actions);
                }
                continue;
            }
            let out = p.attempts.iter().find(|a| a.ended.is_none());
            let overdue =
                out.is_some_and(|a| (self.now - a.at) as f64 > OVERDUE_RATIO * self.latency.baseline());
            if (out.is_some() && !overdue) || p.out() > 1 || self.retries_left() < 1.0 {
                continue;
            }
            // Another replica, or when all were tried, one where this part is not out.
            let busy = out.map_or(vec![], |a| vec![a.replica]);
            let pick = self.pick(p, &tried).or_else(|| self.pick(p, &busy));
            let Some((r, wait)) = pick else { continue };
            let in_time = self.now as f64 + wait < due as f64;
            // Where a part was turned away it goes again when that may be in time, or late anyhow.
            let late = out.is_none() && c.late_weight > 0.0 && (self.now >= due || !tried.contains(&r));
            let stop = !self.settings.hedging && self.settings.cancellation && c.effect == Effect::Idempotent;
            match out {
                Some(_) if in_time && stop => actions.extend(p.call_off()),
                _ if in_time || late || (out.is_some() && second) => {
                    self.send((seq, at), r, timeout, actions)
                }
                _ => {}
            }
        }
    }
}
