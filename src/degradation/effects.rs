//! The effects of a degradation level on the settings of the decision policy.

use crate::interface::{Class, ServiceReduction, Settings};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The effects of a level on the settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Effects {
    /// The share of queries that are admitted, 0 to 1, by the name of their class; 1 for a class
    /// without an entry.
    #[serde(rename = "admit")]
    pub admitted_shares: BTreeMap<String, f64>,
    /// The maximum number of attempts at a part; `None` keeps the maximum of the settings.
    #[serde(rename = "most_attempts")]
    pub max_attempts: Option<u32>,
    /// Whether parts that are too late for the answer are all cancelled. Otherwise a sample of them
    /// is not cancelled, to measure latency.
    #[serde(rename = "quiet")]
    pub skip_late_samples: bool,
    /// The share of the latency objective, 0 to 1, after which a class that allows partial answers
    /// is answered, but never with less than its minimum share of the parts; `None` for 1.
    pub answer_after: Option<f64>,
    /// The factor by which `Retry-After` is extended, at least 1.
    #[serde(rename = "come_back")]
    pub retry_after_factor: f64,
}

impl Default for Effects {
    fn default() -> Self {
        Effects {
            admitted_shares: BTreeMap::default(),
            max_attempts: None,
            skip_late_samples: false,
            answer_after: None,
            retry_after_factor: 1.0,
        }
    }
}

impl Effects {
    /// Returns the settings with these effects. A level only restricts service: it never allows
    /// more attempts than the settings, nor a `Retry-After` beyond their maximum.
    #[must_use]
    pub fn apply_to(&self, settings: &Settings) -> Settings {
        let mut settings = settings.clone();
        let max_attempts = self.max_attempts.unwrap_or(u32::MAX).max(1);
        for class in &mut settings.classes {
            class.max_attempts = class.max_attempts.min(max_attempts);
        }
        settings.reduction = ServiceReduction {
            admitted_shares: settings
                .classes
                .iter()
                .map(|class| self.admitted_share(class))
                .collect(),
            skip_late_samples: self.skip_late_samples,
            answer_after: self.answer_after.unwrap_or(1.0).clamp(0.0, 1.0),
            retry_after_factor: self.retry_after_factor.max(1.0),
        };
        settings
    }

    /// Returns the share of the class's queries that are admitted, 0 to 1.
    fn admitted_share(&self, class: &Class) -> f64 {
        self.admitted_shares
            .get(&class.name)
            .map_or(1.0, |share| share.clamp(0.0, 1.0))
    }
}
