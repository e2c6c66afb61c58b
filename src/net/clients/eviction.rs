//! The choice of client connections to evict when the limits on connections or memory are reached.
//! Pure functions, without sockets and clocks.

use super::activity::ConnectionActivity;
use crate::time::Micros;

/// The time in which a connection without a query is not evicted, since its client may be about to
/// send one. It counts from the accept or, once a request was received, from the last activity.
/// Short, since connections in the backlog may be waiting for the eviction.
const EVICTION_GRACE_PERIOD: Micros = Micros::from_millis(30);

/// The kinds of connections that may be evicted, in the order of eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionKind {
    /// A connection whose last response was an error; its client may still be sending.
    Failed,
    /// A connection that has submitted no query.
    WithoutQuery,
    /// A connection between two queries.
    BetweenQueries,
}

/// The order of evictions: by kind, then by the time of the last change. The connection with the
/// smallest value is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EvictionPriority {
    /// The kind of connection.
    pub kind: ConnectionKind,
    /// The time of the last response, of the last activity, or of the accept, depending on the
    /// kind.
    pub since: Micros,
}

/// Returns the priority of a connection; `None` if it must not be evicted.
#[must_use]
pub fn eviction_priority(connection: &ConnectionActivity, now: Micros) -> Option<EvictionPriority> {
    if connection.aborted || connection.closing || connection.busy {
        return None;
    }
    if let Some(since) = connection.lingering_since {
        return Some(EvictionPriority {
            kind: ConnectionKind::Failed,
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
            kind: ConnectionKind::WithoutQuery,
            since,
        };
        return (now.since(since) > EVICTION_GRACE_PERIOD).then_some(priority);
    }
    connection.idle.then_some(EvictionPriority {
        kind: ConnectionKind::BetweenQueries,
        since: connection.last_activity_at,
    })
}

/// Returns the connection to evict so that another one can be accepted; `None` if none may be
/// evicted.
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

/// Returns the connections between queries that exceed `max_idle`: those that have been idle
/// longest.
pub fn excess_idle<C>(
    connections: impl Iterator<Item = C>,
    now: Micros,
    max_idle: usize,
    activity: impl Fn(&C) -> ConnectionActivity,
) -> Vec<C> {
    let between_queries = |connection: &C| {
        eviction_priority(&activity(connection), now)
            .filter(|p| p.kind == ConnectionKind::BetweenQueries)
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

/// Returns the connection whose memory is freed next: the one that holds the most among those without
/// a request that awaits its response, otherwise the one with the most input behind such a request.
/// Returns `None` if no memory can be freed.
pub fn largest_buffers<C>(
    connections: impl Iterator<Item = C>,
    activity: impl Fn(&C) -> ConnectionActivity,
) -> Option<C> {
    let rank = |connection: &C| {
        let activity = activity(connection);
        let bytes = if activity.busy {
            activity.unread_bytes
        } else {
            activity.buffered_bytes
        };
        let can_be_freed = bytes > 0 && (activity.busy || !activity.aborted);
        can_be_freed.then_some((!activity.busy, bytes))
    };
    connections
        .filter_map(|c| Some((rank(&c)?, c)))
        .max_by_key(|(rank, _)| *rank)
        .map(|(_, connection)| connection)
}

#[cfg(test)]
mod tests;
