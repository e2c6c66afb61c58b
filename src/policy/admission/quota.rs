//! Quotas of tenants in queries per second, of which each coordinator enforces an even share.

use crate::interface::{Nanos, Settings, TenantId};
use crate::stats::TokenBucket;

/// Burst of a quota: the number of queries at its rate in this many seconds.
const BURST_SECONDS: f64 = 2.0;
/// Least burst of a quota, in queries.
const MIN_BURST: f64 = 2.0;

/// Token buckets of all tenants.
#[derive(Debug)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates a bucket for each tenant, with one token in it.
    pub fn new(settings: &Settings, now: Nanos) -> Self {
        let mut quotas = TenantQuotas {
            buckets: Vec::new(),
        };
        quotas.apply_settings(settings, now);
        quotas
    }

    /// Applies new settings. Tenants that exist already keep their tokens.
    pub fn apply_settings(&mut self, settings: &Settings, now: Nanos) {
        let new_bucket = TokenBucket::new(1.0, now);
        self.buckets.resize(settings.tenants.len(), new_bucket);
    }

    /// Takes a token for a query, and returns whether the query exceeds the quota.
    pub fn is_exceeded(&mut self, tenant: TenantId, settings: &Settings, now: Nanos) -> bool {
        let index = tenant.0 as usize;
        let Some(quota) = settings.tenants.get(index).and_then(|tenant| tenant.quota) else {
            return false;
        };
        let rate = quota / f64::from(settings.coordinators.max(1));
        let burst = (BURST_SECONDS * rate).max(MIN_BURST);
        !self.buckets[index].try_take(now, rate, burst)
    }
}
