//! How a shard's parts are shared among its holders, so that all replicas bear alike.

use super::*;

/// Rounds of balancing: each carries what a replica has too much of one neighbour further.
const ROUNDS: usize = 8;
/// What is thought of a replica with each of its silent failures in a row, as a share of before,
const SILENT: f64 = 0.5;
/// and the least of one that is silent or cold, as a share of a sound one: someone has to try it.
const LEAST: f64 = 0.1;

impl DecisionPolicy {
    /// A replica whose neighbour drains or is cold has that one's parts on top. All instances know that from
    /// their list at once, while each would need many answers to see it. What it shares goes to others.
    pub(super) fn balance(&mut self) {
        let places: BTreeMap<ReplicaId, usize> = self.replicas.keys().copied().zip(0..).collect();
        let can = |r: &Replica| {
            (r.slow_start.capacity(self.settings.slow_start, self.now) * SILENT.powi(r.strikes as i32))
                .max(LEAST)
        };
        let can: Vec<f64> = self.replicas.values().map(can).collect();
        let even = |held: &Vec<_>| held.iter().map(|h: &(_, f64)| (places[&h.0], 1.0)).collect();
        let mut shares: Vec<Vec<(usize, f64)>> = self.holders.iter().map(even).collect();
        for _ in 0..ROUNDS {
            let mut load = vec![0.0; can.len()];
            shares.iter().flatten().for_each(|(at, share)| load[*at] += share);
            for held in &mut shares {
                held.iter_mut().for_each(|(at, share)| *share *= (can[*at] / load[*at]).sqrt());
                let all: f64 = held.iter().map(|h| h.1).sum();
                held.iter_mut().for_each(|h| h.1 /= all);
            }
        }
        for (held, shares) in self.holders.iter_mut().zip(shares) {
            held.iter_mut().zip(shares).for_each(|(h, (_, share))| h.1 = share);
        }
    }
}
