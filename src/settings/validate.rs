//! What settings must satisfy before a program runs with them.

use super::CoordinatorSettings;

impl CoordinatorSettings {
    /// What settings must hold so that a program may begin with them, or go over to them while it runs.
    pub fn validate(&self) -> Result<(), String> {
        let m = &self.policy;
        let counts = [
            ("balancers", u64::from(m.coordinators)),
            ("tick", m.tick),
            ("family-info.slices", u64::from(m.shards)),
            ("family-info.cells", u64::from(m.cells)),
            ("family-info.in-a-row", u64::from(m.cells_per_shard)),
            ("limits.dial-timeout", self.connect_timeout),
        ];
        if let Some((key, _)) = counts.iter().find(|c| c.1 == 0) {
            return Err(format!("{key} is not above 0"));
        }
        let classes = &m.classes;
        for (at, c) in classes.iter().enumerate() {
            let fault = |why: &str| Err(format!("class {:?}: {why}", c.name));
            match () {
                () if c.name.is_empty() => return fault("it has no name"),
                () if classes[..at].iter().any(|b| b.name == c.name) => return fault("it is named twice"),
                () if c.deadline == 0 => return fault("its deadline is not above 0"),
                () if c.max_attempts == 0 => {
                    return fault("its attempts (limits.max-attempts) are not above 0")
                }
                () if !(0.0..=1.0).contains(&c.required_share) => return fault("its class-need is no share"),
                () if !(0.0..=1.0).contains(&c.min_share) => return fault("its least-share is no share"),
                () if c.priority_weight < 0.0 || c.late_weight < 0.0 => return fault("its worth is below 0"),
                () => {}
            }
        }
        if classes.is_empty() {
            return Err("there are no classes".to_owned());
        }
        Ok(())
    }
}
