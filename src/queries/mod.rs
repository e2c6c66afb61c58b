//! Tables of queries, with their parts and attempts, and of attempts in flight.
//!
//! The tables only record what the events report; the decisions are made by the policy.

mod in_flight;
mod query;

#[cfg(test)]
mod tests;

pub use in_flight::{AttemptKey, AttemptsByAge, EndedAttempt, InFlight, InFlightTable};
pub use query::{Attempt, FirstAnswer, Part, Query, Stage, WEIGHT_TOLERANCE};

use crate::interface::{AttemptNo, GroupId, Nanos, Outcome, PartId, QueryId};
use std::collections::BTreeMap;

/// Sequence number of a query in the table, in order of arrival.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryNo(u64);

/// Position of a part in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartPosition {
    /// Query of the part.
    pub query: QueryNo,
    /// Index of the part in [`Query::parts`].
    pub index: usize,
}

/// Queries by their sequence number, and their parts by identifier.
#[derive(Debug, Default)]
pub struct QueryTable {
    queries: BTreeMap<QueryNo, Query>,
    parts: BTreeMap<PartId, PartPosition>,
    next_number: QueryNo,
}

impl QueryTable {
    /// Adds a query that was received.
    pub fn insert(&mut self, query: Query) {
        self.queries.insert(self.next_number, query);
        self.next_number.0 += 1;
    }

    /// Adds a part to the latest open query of its group; drops the part if there is none.
    pub fn add_part(&mut self, group: GroupId, part: Part) {
        let mut open = self
            .queries
            .iter_mut()
            .rev()
            .filter(|(_, query)| query.is_open());
        let Some((number, query)) = open.find(|(_, query)| query.group == group) else {
            return;
        };
        self.parts.insert(
            part.id,
            PartPosition {
                query: *number,
                index: query.parts.len(),
            },
        );
        query.parts.push(Part {
            follow_up: query.stage == Stage::FollowUp,
            ..part
        });
    }

    /// Returns a query, open or closed, if it is still in the table.
    #[must_use]
    pub fn get(&self, number: QueryNo) -> Option<&Query> {
        self.queries.get(&number)
    }

    /// Returns a query, open or closed, mutably, if it is still in the table.
    pub fn get_mut(&mut self, number: QueryNo) -> Option<&mut Query> {
        self.queries.get_mut(&number)
    }

    /// Returns a query if it awaits its final answer.
    #[must_use]
    pub fn get_open(&self, number: QueryNo) -> Option<&Query> {
        self.get(number).filter(|query| query.is_open())
    }

    /// Returns a query, mutably, if it awaits its final answer.
    pub fn get_open_mut(&mut self, number: QueryNo) -> Option<&mut Query> {
        self.get_mut(number).filter(|query| query.is_open())
    }

    /// Closes the open query with this identifier, whose client disconnected, and returns it.
    pub fn abandon(&mut self, id: QueryId) -> Option<&Query> {
        let query = self
            .queries
            .values_mut()
            .find(|query| query.id == id && query.is_open())?;
        query.stage = Stage::Closed;
        Some(query)
    }

    /// Returns a part by its position.
    #[must_use]
    pub fn part(&self, position: PartPosition) -> Option<&Part> {
        self.get(position.query)
            .and_then(|query| query.parts.get(position.index))
    }

    /// Returns a part by its position, mutably.
    pub fn part_mut(&mut self, position: PartPosition) -> Option<&mut Part> {
        self.get_mut(position.query)
            .and_then(|query| query.parts.get_mut(position.index))
    }

    /// Returns the numbers of all queries, in order of arrival.
    pub fn numbers(&self) -> impl Iterator<Item = QueryNo> + '_ {
        self.queries.keys().copied()
    }

    /// Returns the queries that await their final answer.
    pub fn open(&self) -> impl Iterator<Item = &Query> {
        self.queries.values().filter(|query| query.is_open())
    }

    /// Returns the times after `now` at which open queries must be answered or have their deadline.
    pub fn due_after(&self, now: Nanos) -> impl Iterator<Item = Nanos> + '_ {
        self.open()
            .flat_map(|query| [query.respond_by, query.deadline])
            .filter(move |at| *at > now)
    }

    /// Returns the queries sampled to measure answer quality, open or closed.
    pub fn samples(&self) -> impl Iterator<Item = &Query> {
        self.queries.values().filter(|query| query.sampled)
    }

    /// Records how an attempt ended.
    pub fn complete_attempt(
        &mut self,
        part: PartId,
        attempt: AttemptNo,
        outcome: Outcome,
        now: Nanos,
    ) {
        let Some(position) = self.parts.get(&part).copied() else {
            return;
        };
        if let Some(part) = self.part_mut(position) {
            part.complete_attempt(attempt, outcome, now);
        }
    }

    /// Updates the positions of a query's parts after they were reordered.
    pub fn reindex(&mut self, number: QueryNo) {
        let Some(query) = self.queries.get(&number) else {
            return;
        };
        for (index, part) in query.parts.iter().enumerate() {
            self.parts.insert(
                part.id,
                PartPosition {
                    query: number,
                    index,
                },
            );
        }
    }

    /// Removes closed queries, except samples received since `horizon`.
    pub fn remove_closed(&mut self, horizon: Nanos) {
        self.queries
            .retain(|_, query| query.is_open() || (query.sampled && query.received_at >= horizon));
        self.parts
            .retain(|_, position| self.queries.contains_key(&position.query));
    }
}
