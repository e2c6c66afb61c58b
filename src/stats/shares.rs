//! Balancing of load over the members of overlapping groups.

use std::collections::BTreeMap;

/// Share of a group's load that one member carries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share<K> {
    /// The member.
    pub member: K,
    /// Share of the group's load, 0 to 1.
    pub share: f64,
}

/// Balances the load of each group over its members, so that the load of every member is in
/// proportion to its capacity, as far as the overlap of the groups allows. The shares of each group
/// then sum to 1.
///
/// The method is iterative proportional fitting, starting from even shares: each round moves excess
/// load of a member to the other members of its groups.
///
/// # Panics
/// If a member has no entry in `capacities`.
pub fn balance_shares<K: Ord + Copy>(
    groups: &mut [&mut [Share<K>]],
    capacities: &BTreeMap<K, f64>,
    rounds: usize,
) {
    let indexes: BTreeMap<K, usize> = capacities.keys().copied().zip(0..).collect();
    let capacities: Vec<f64> = capacities.values().copied().collect();
    let index_of = |share: &Share<K>| indexes[&share.member];
    let member_indexes: Vec<Vec<usize>> = groups
        .iter()
        .map(|group| group.iter().map(index_of).collect())
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
            .zip(member_indexes.iter().flatten())
        {
            load[*member] += share.share;
        }
        for (group, members) in groups.iter_mut().zip(&member_indexes) {
            for (share, member) in group.iter_mut().zip(members) {
                share.share *= (capacities[*member] / load[*member]).sqrt();
            }
            let total: f64 = group.iter().map(|share| share.share).sum();
            group.iter_mut().for_each(|share| share.share /= total);
        }
    }
}
