//! What a level of reduced service changes.

use crate::interface::{Class, ServiceReduction, Settings};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The effects of a level on the settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Effects {
    /// The share of queries that are admitted, by the name of their class; 1 for a class that is not named.
    #[serde(rename = "admit")]
    pub admitted_shares: BTreeMap<String, f64>,
    /// The maximum of attempts at a part.
    #[serde(rename = "most_attempts")]
    pub max_attempts: Option<u32>,
    /// Parts that are late for their answer are cancelled, where otherwise a sample of them runs on to measure latency.
    #[serde(rename = "quiet")]
    pub skip_late_samples: bool,
    /// A class that allows partial answers is answered after this share of its latency objective, but never below its
    /// minimum share.
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
    /// The settings with these effects. A level only takes away: it grants no attempts beyond the settings and no wait
    /// beyond what clients follow.
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

    fn admitted_share(&self, class: &Class) -> f64 {
        self.admitted_shares
            .get(&class.name)
            .map_or(1.0, |share| share.clamp(0.0, 1.0))
    }
}
