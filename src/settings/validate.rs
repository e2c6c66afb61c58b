//! The validation of settings before a coordinator uses them.

use super::{ClassFault, CoordinatorSettings, SettingsError};
use crate::interface::{Class, Settings};

impl CoordinatorSettings {
    /// Checks that a coordinator can start with these settings, or change to them while it runs.
    ///
    /// # Errors
    ///
    /// Returns the first violation: first of the values that must be positive, then of each class,
    /// then of the list of classes.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.check_positive_values()?;
        let classes = &self.policy.classes;
        for (index, class) in classes.iter().enumerate() {
            check_class(class, &classes[..index]).map_err(|fault| SettingsError::InvalidClass {
                class: class.name.clone(),
                fault,
            })?;
        }
        if classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        Ok(())
    }

    /// Checks the values that must not be 0.
    fn check_positive_values(&self) -> Result<(), SettingsError> {
        let Settings {
            coordinators,
            tick,
            shards,
            cells,
            cells_per_shard,
            ..
        } = self.policy;
        let values = [
            ("balancers", u64::from(coordinators)),
            ("tick", tick),
            ("family-info.slices", u64::from(shards)),
            ("family-info.cells", u64::from(cells)),
            ("family-info.in-a-row", u64::from(cells_per_shard)),
            ("limits.dial-timeout", self.connect_timeout),
        ];
        match values.into_iter().find(|(_, value)| *value == 0) {
            Some((key, _)) => Err(SettingsError::NotPositive { key }),
            None => Ok(()),
        }
    }
}

/// Checks one class; `earlier` are the classes before it in the list.
fn check_class(class: &Class, earlier: &[Class]) -> Result<(), ClassFault> {
    check_name(class, earlier)?;
    check_limits(class)?;
    check_shares(class)?;
    check_weights(class)
}

fn check_name(class: &Class, earlier: &[Class]) -> Result<(), ClassFault> {
    if class.name.is_empty() {
        return Err(ClassFault::Unnamed);
    }
    if earlier.iter().any(|other| other.name == class.name) {
        return Err(ClassFault::DuplicateName);
    }
    Ok(())
}

fn check_limits(class: &Class) -> Result<(), ClassFault> {
    if class.deadline == 0 {
        return Err(ClassFault::NoDeadline);
    }
    if class.max_attempts == 0 {
        return Err(ClassFault::NoAttempts);
    }
    Ok(())
}

fn check_shares(class: &Class) -> Result<(), ClassFault> {
    let shares = 0.0..=1.0;
    if !shares.contains(&class.required_share) {
        return Err(ClassFault::RequiredShareOutOfRange);
    }
    if !shares.contains(&class.min_share) {
        return Err(ClassFault::MinShareOutOfRange);
    }
    Ok(())
}

fn check_weights(class: &Class) -> Result<(), ClassFault> {
    if class.priority_weight < 0.0 || class.late_weight < 0.0 {
        return Err(ClassFault::NegativeWeight);
    }
    Ok(())
}
