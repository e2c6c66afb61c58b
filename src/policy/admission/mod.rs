//! Admission: decides which queries are admitted, by the tenants' quotas, the priority of a query
//! and its expected wait, and which parts of an admitted query are omitted.

mod controller;
mod omission;
mod quota;
mod ramps;
mod wait_estimate;

use super::quality::QualityMeasurement;
use super::replicas::ReplicaTable;
use crate::interface::{Nanos, Settings, TenantId};
use crate::queries::Query;
use crate::stats::RecentValues;
use controller::AdmissionController;
use omission::omit_parts;
use quota::TenantQuotas;
use ramps::{LOW_PRIORITY_ADMISSION, TOP_PRIORITY_ADMISSION};
use wait_estimate::{part_waits, wait_share};

/// Number of recent low-priority queries that the next one is ranked among.
const RANKED_QUERIES: usize = 64;

/// Admission of queries.
#[derive(Debug)]
pub struct Admission {
    quotas: TenantQuotas,
    recent_priorities: RecentValues,
    controller: AdmissionController,
}

impl Admission {
    /// Creates the state of admission, whose controller admits all queries.
    pub fn new(settings: &Settings, now: Nanos) -> Self {
        Admission {
            quotas: TenantQuotas::new(settings, now),
            recent_priorities: RecentValues::default(),
            controller: AdmissionController::new(),
        }
    }

    /// Applies new settings.
    pub fn apply_settings(&mut self, settings: &Settings, now: Nanos) {
        self.quotas.apply_settings(settings, now);
    }

    /// Takes a token of the tenant's quota for a query, and returns whether the query exceeds it.
    pub fn is_over_quota(&mut self, tenant: TenantId, settings: &Settings, now: Nanos) -> bool {
        self.quotas.is_exceeded(tenant, settings, now)
    }

    /// Adjusts the admitted share of low-priority queries by the answer quality of one period.
    pub fn update(&mut self, measurement: &QualityMeasurement, period: Nanos) {
        self.controller.update(measurement, period);
    }

    /// Returns whether the controller rejects a share of the low-priority queries.
    pub fn is_rejecting(&self) -> bool {
        self.controller.admitted_share() < 1.0
    }

    /// Decides whether a query that was just received is admitted, and if so which of its parts are
    /// requested.
    pub fn admit(
        &mut self,
        query: &mut Query,
        replicas: &ReplicaTable,
        settings: &Settings,
        now: Nanos,
    ) -> bool {
        let class = settings.class(query.class);
        let waits = part_waits(query, replicas, settings, now);
        let wait_share = wait_share(query, &waits, class, replicas.latency(), now);
        if self.rejects(query, wait_share, settings) {
            return false;
        }
        let admitted_share = self.controller.admitted_share();
        omit_parts(query, &waits, class, wait_share, admitted_share, now);
        true
    }

    /// Decides whether a query is rejected.
    ///
    /// Low-priority queries are rejected beyond the admitted share, the lowest priority first.
    /// Queries of the highest priority are rejected only where all of them would be late, since
    /// answering some in time is better than answering none. The admitted share of the query's
    /// class under graceful degradation applies to both.
    fn rejects(&mut self, query: &Query, wait_share: f64, settings: &Settings) -> bool {
        let class_index = usize::from(query.class.0);
        let class_shares = &settings.reduction.admitted_shares;
        let class_share = class_shares.get(class_index).copied().unwrap_or(1.0);
        if query.priority >= settings.max_priority_weight() {
            let admitted_share = TOP_PRIORITY_ADMISSION.at(wait_share).min(class_share);
            return query.admission_draw >= admitted_share;
        }
        let rank = self.rank(query);
        let by_wait = LOW_PRIORITY_ADMISSION.at(wait_share);
        let admitted_share = self.controller.admitted_share().min(by_wait);
        let below_admitted_rank = rank < 1.0 - admitted_share;
        let has_no_weight = query.priority <= 0.0;
        let beyond_class_share = query.admission_draw < 1.0 - class_share;
        below_admitted_rank || has_no_weight || beyond_class_share
    }

    /// Returns the share of the recent low-priority queries whose priority a query exceeds, and
    /// adds the query to them.
    fn rank(&mut self, query: &Query) -> f64 {
        let rank = self
            .recent_priorities
            .rank(query.priority, query.admission_draw);
        self.recent_priorities.push(query.priority, RANKED_QUERIES);
        rank
    }
}
