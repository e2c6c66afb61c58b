//! Which client connections are evicted when places or memory are short. Pure: no I/O, no clock.

use super::activity::ConnectionActivity;
use crate::time::Micros;

/// A connection without a request that was active so lately may be just about to send one, and is not evicted. No more
/// than a round trip: in a crowd, clients in the backlog that have sent their request long since wait for this.
const MIN_SILENCE: Micros = Micros::from_millis(30);

/// The kinds of connections that may be evicted, those to evict first at the beginning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionClass {
    /// Answered with an error; its client may still be sending.
    Failed,
    /// No query has come on it.
    WithoutQuery,
    /// Between two queries.
    BetweenQueries,
}

/// The order of evictions: by kind, then by the time spent in that state. The least is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionPriority {
    /// The kind of connection.
    pub class: EvictionClass,
    /// When it came into that state.
    pub since: Micros,
}

/// The priority of a connection, or `None` where it must not be evicted.
#[must_use]
pub fn eviction_priority(connection: &ConnectionActivity, now: Micros) -> Option<EvictionPriority> {
    if connection.aborted || connection.closing || connection.busy {
        return None;
    }
    if let Some(since) = connection.lingering_since {
        return Some(EvictionPriority {
            class: EvictionClass::Failed,
            since,
        });
    }
    if !connection.submitted_query {
        let since = if connection.received_request {
            connection.last_activity_at
        } else {
            connection.accepted_at
        };
        let priority = EvictionPriority {
            class: EvictionClass::WithoutQuery,
            since,
        };
        return (now.since(since) > MIN_SILENCE).then_some(priority);
    }
    connection.idle.then_some(EvictionPriority {
        class: EvictionClass::BetweenQueries,
        since: connection.last_activity_at,
    })
}

/// The connection to evict so that another one can be accepted.
pub fn first_to_evict<C>(
    connections: impl Iterator<Item = C>,
    now: Micros,
    activity: impl Fn(&C) -> ConnectionActivity,
) -> Option<C> {
    connections
        .filter_map(|c| Some((eviction_priority(&activity(&c), now)?, c)))
        .min_by_key(|(priority, _)| *priority)
        .map(|(_, connection)| connection)
}

/// The connections between queries beyond `max_idle`, the longest idle ones.
pub fn excess_idle<C>(
    connections: impl Iterator<Item = C>,
    now: Micros,
    max_idle: usize,
    activity: impl Fn(&C) -> ConnectionActivity,
) -> Vec<C> {
    let between_queries = |connection: &C| {
        eviction_priority(&activity(connection), now)
            .filter(|p| p.class == EvictionClass::BetweenQueries)
    };
    let mut idle: Vec<_> = connections
        .filter_map(|c| Some((between_queries(&c)?.since, c)))
        .collect();
    if idle.len() <= max_idle {
        return Vec::new();
    }
    idle.sort_by_key(|(since, _)| *since);
    idle.truncate(idle.len() - max_idle);
    idle.into_iter().map(|(_, connection)| connection).collect()
}

/// The connection that holds the most memory, of those that wait for no response.
pub fn largest_without_response<C>(
    connections: impl Iterator<Item = C>,
    activity: impl Fn(&C) -> ConnectionActivity,
) -> Option<C> {
    let buffered_bytes = |connection: &C| {
        let activity = activity(connection);
        (!activity.aborted && !activity.busy).then_some(activity.buffered_bytes)
    };
    connections
        .filter_map(|c| Some((buffered_bytes(&c)?, c)))
        .max_by_key(|(bytes, _)| *bytes)
        .map(|(_, connection)| connection)
}

#[cfg(test)]
mod tests;
