//! The pending queries: those that have no final answer yet.

use crate::coordinator::messages::ServedPart;
use crate::coordinator::request::{PartRequest, Request, Token, Value};
use crate::coordinator::turn::Turn;
use crate::interface::{ClassId, Event, GroupId, PartId, QueryId};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The part of a client's timeout that is reserved for the network in both directions and for the
/// turn. The policy adds its own margin for its ticks.
pub(super) const NETWORK_MARGIN: Micros = Micros::from_millis(3);
/// A query that ends less than this time before its latency objective or deadline counts as late,
/// since the policy ends a query some ticks before them.
const LATE_TOLERANCE: Micros = Micros::from_millis(25);

/// A query that has no final answer yet.
#[derive(Debug)]
pub(super) struct PendingQuery {
    /// The request of the query.
    pub(super) request: Request,
    /// The class of the query.
    pub(super) class: ClassId,
    /// The time by which the query must have its answer.
    pub(super) deadline: Micros,
    /// The time by which the answer is due according to the latency objective.
    objective: Micros,
    /// The values that servers returned for the parts, in the request's order.
    values: Vec<Option<Value>>,
}

impl PendingQuery {
    /// Creates a query whose parts have no values yet.
    pub(super) fn new(
        request: Request,
        class: ClassId,
        deadline: Micros,
        objective: Micros,
    ) -> Self {
        let values = vec![None; request.parts.len()];
        Self {
            request,
            class,
            deadline,
            objective,
            values,
        }
    }

    /// Returns whether a query that ends at this time has run out of time.
    pub(super) fn is_late(&self, now: Micros) -> bool {
        now + LATE_TOLERANCE >= self.objective.min(self.deadline)
    }

    /// Returns the weight of the parts that have a value.
    pub(super) fn served_weight(&self) -> f64 {
        let parts = self.request.parts.iter().zip(&self.values);
        parts
            .filter(|(_, value)| value.is_some())
            .map(|(part, _)| part.weight)
            .sum()
    }

    /// Removes the values from the query, and returns the parts that had one.
    pub(super) fn take_served_parts(&mut self) -> Vec<ServedPart> {
        let values = std::mem::take(&mut self.values);
        let parts = self.request.parts.iter().zip(values);
        parts
            .filter_map(|(part, value)| {
                Some(ServedPart {
                    shard: part.shard,
                    value: value?,
                })
            })
            .collect()
    }

    /// Returns the sum of the parts' expected work; `None` unless each part states it.
    fn expected_work(&self) -> Option<Micros> {
        let parts = &self.request.parts;
        if parts.is_empty() {
            return None;
        }
        parts.iter().try_fold(Micros::ZERO, |sum, part| {
            part.expected_work.map(|work| sum + work)
        })
    }
}

/// Returns the number of slots that a query reserves: one for itself and one for each part.
pub(super) fn slots(request: &Request) -> usize {
    1 + request.parts.len()
}

/// Returns the id of a part: the ids of a query's parts follow its own.
fn part_id(query: QueryId, index: usize) -> PartId {
    PartId(query.0 + 1 + index as u64)
}

/// Returns the ids of all parts of a query, in the request's order.
pub(super) fn part_ids(query: QueryId, request: &Request) -> impl Iterator<Item = PartId> {
    (0..request.parts.len()).map(move |index| part_id(query, index))
}

/// The query of a part, and the index of the part in it.
#[derive(Debug, Clone, Copy)]
struct PartLocation {
    query: QueryId,
    index: usize,
}

/// A part of a pending query.
pub(super) struct PendingPart<'a> {
    /// The query of the part.
    pub(super) query: &'a PendingQuery,
    /// The request of the part to its shard.
    pub(super) part: &'a PartRequest,
}

/// The deadline of a query; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueryDeadline {
    at: Micros,
    query: QueryId,
}

/// All pending queries by id, token, part and deadline, and the slots that they reserve.
#[derive(Debug)]
pub(super) struct PendingQueries {
    queries: BTreeMap<QueryId, PendingQuery>,
    by_token: HashMap<Token, QueryId>,
    parts: HashMap<PartId, PartLocation>,
    deadlines: BTreeSet<QueryDeadline>,
    /// The slots that all pending queries reserve.
    reserved_slots: usize,
    /// The time by which every answer must be given, during a graceful shutdown.
    final_deadline: Option<Micros>,
    /// The next id of a query or a part; never reused.
    next_id: u64,
    /// The id that the next query and its parts share; it wraps around.
    next_group: u32,
}

impl PendingQueries {
    /// Creates the collection without a query.
    pub(super) fn new() -> Self {
        Self {
            queries: BTreeMap::new(),
            by_token: HashMap::new(),
            parts: HashMap::new(),
            deadlines: BTreeSet::new(),
            reserved_slots: 0,
            final_deadline: None,
            next_id: 1,
            next_group: 1,
        }
    }

    /// Returns the number of pending queries.
    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    /// Returns the number of slots that pending queries and their parts reserve.
    pub(super) fn reserved_slots(&self) -> usize {
        self.reserved_slots
    }

    /// Returns the query of a token.
    pub(super) fn find(&self, token: Token) -> Option<QueryId> {
        self.by_token.get(&token).copied()
    }

    /// Returns the part of this id.
    pub(super) fn part(&self, part: PartId) -> Option<PendingPart<'_>> {
        let location = self.parts.get(&part)?;
        let query = self.queries.get(&location.query)?;
        Some(PendingPart {
            query,
            part: &query.request.parts[location.index],
        })
    }

    /// Returns the earliest deadline of a query.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Returns the query with the earliest deadline, if that has passed.
    pub(super) fn next_expired(&self, now: Micros) -> Option<QueryId> {
        self.deadlines
            .first()
            .filter(|deadline| deadline.at <= now)
            .map(|deadline| deadline.query)
    }

    /// Starts the graceful shutdown: every pending query, and every later one, gets its answer by
    /// the final deadline.
    pub(super) fn set_final_deadline(&mut self, final_deadline: Micros) {
        self.final_deadline = Some(final_deadline);
        let last_allowed = QueryDeadline {
            at: final_deadline,
            query: QueryId(u64::MAX),
        };
        let late: Vec<QueryDeadline> = self.deadlines.range(last_allowed..).copied().collect();
        for deadline in late {
            if let Some(query) = self.queries.get_mut(&deadline.query) {
                query.deadline = final_deadline;
                self.deadlines.remove(&deadline);
                self.deadlines.insert(QueryDeadline {
                    at: final_deadline,
                    ..deadline
                });
            }
        }
    }

    /// Returns a deadline, or the final one if that is earlier.
    pub(super) fn bounded_deadline(&self, deadline: Micros) -> Micros {
        self.final_deadline
            .map_or(deadline, |last| deadline.min(last))
    }

    /// Returns whether a deadline is the final one of a graceful shutdown, or later.
    pub(super) fn is_final(&self, deadline: Micros) -> bool {
        self.final_deadline.is_some_and(|last| deadline >= last)
    }

    /// Adds a query, reserves its slots, and passes it and its parts to the policy.
    pub(super) fn insert(&mut self, query: PendingQuery, turn: &mut Turn<'_>) {
        let slots = slots(&query.request);
        let id = QueryId(self.next_id);
        let group = GroupId(self.next_group);
        self.next_id += slots as u64;
        self.next_group = self.next_group.wrapping_add(1);
        self.reserved_slots += slots;
        turn.events.push(Event::Query {
            query: id,
            group,
            class: query.class,
            tenant: query.request.tenant,
            expected_work: query.expected_work().map(Micros::to_nanos),
            time_left: query.deadline.since(turn.now + NETWORK_MARGIN).to_nanos(),
        });
        for (index, part) in query.request.parts.iter().enumerate() {
            let part_id = part_id(id, index);
            self.parts
                .insert(part_id, PartLocation { query: id, index });
            turn.events.push(Event::Part {
                part: part_id,
                group,
                shard: part.shard,
                weight: part.weight,
            });
        }
        self.by_token.insert(query.request.token, id);
        self.deadlines.insert(QueryDeadline {
            at: query.deadline,
            query: id,
        });
        self.queries.insert(id, query);
    }

    /// Removes a query and frees its slots. A query that was removed cannot have a second answer.
    pub(super) fn remove(&mut self, id: QueryId) -> Option<PendingQuery> {
        let query = self.queries.remove(&id)?;
        self.reserved_slots -= slots(&query.request);
        self.deadlines.remove(&QueryDeadline {
            at: query.deadline,
            query: id,
        });
        self.by_token.remove(&query.request.token);
        for part in part_ids(id, &query.request) {
            self.parts.remove(&part);
        }
        Some(query)
    }

    /// Stores the value that a server returned for a part; ignored if the query has ended.
    pub(super) fn store(&mut self, part: PartId, value: Value) {
        let Some(location) = self.parts.get(&part) else {
            return;
        };
        let Some(query) = self.queries.get_mut(&location.query) else {
            return;
        };
        query.values[location.index] = Some(value);
    }
}
