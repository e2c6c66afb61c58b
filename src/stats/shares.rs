//! Balancing of load over groups that overlap.

use std::collections::BTreeMap;

/// Share of a group's load that one member carries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share<K> {
    /// The member.
    pub member: K,
    /// Share of the group's load, 0 to 1.
    pub share: f64,
}

/// Balances the load of each group over its members, so that all members have the same load for
/// their capacity, as far as the groups overlap. The shares of a group then sum to 1.
///
/// The method is iterative proportional fitting from even shares: each round passes the excess of a
/// member in one group on to the other groups.
///
/// # Panics
/// If a member has no entry in `capacities`.
pub fn balance_shares<K: Ord + Copy>(
    groups: &mut [&mut [Share<K>]],
    capacities: &BTreeMap<K, f64>,
    rounds: usize,
) {
    let numbers: BTreeMap<K, usize> = capacities.keys().copied().zip(0..).collect();
    let capacities: Vec<f64> = capacities.values().copied().collect();
    let number = |share: &Share<K>| numbers[&share.member];
    let members: Vec<Vec<usize>> = groups
        .iter()
        .map(|group| group.iter().map(number).collect())
        .collect();
    groups
        .iter_mut()
        .flat_map(|group| group.iter_mut())
        .for_each(|share| share.share = 1.0);
    for _ in 0..rounds {
        let mut load = vec![0.0; capacities.len()];
        for (share, member) in groups
            .iter()
            .flat_map(|group| group.iter())
            .zip(members.iter().flatten())
        {
            load[*member] += share.share;
        }
        for (group, members) in groups.iter_mut().zip(&members) {
            for (share, member) in group.iter_mut().zip(members) {
                share.share *= (capacities[*member] / load[*member]).sqrt();
            }
            let total: f64 = group.iter().map(|share| share.share).sum();
            group.iter_mut().for_each(|share| share.share /= total);
        }
    }
}
