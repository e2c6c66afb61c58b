//! The query classes, by name and by number.
//!
//! The policy identifies a class by its number, which is its slot here; clients and the
//! configuration identify it by its name. A reload may give a name another slot.

use super::metrics::{ClassMetrics, Metrics};
use crate::interface::{Class, ClassId};
use std::sync::Arc;

/// Stands for the previous class of a new class, which continues the statistics of no other class.
const NO_PREVIOUS_CLASS: ClassId = ClassId(u16::MAX);

/// A class with its metrics and the number of queries and attempts that use it.
#[derive(Debug)]
struct ClassSlot {
    class: Class,
    metrics: Arc<ClassMetrics>,
    /// The number of pending queries and in-flight attempts of the class.
    users: usize,
}

/// A class of a reloaded configuration.
struct ReloadedClass<'a> {
    class: &'a Class,
    /// The active class of the same name, if any.
    current: Option<ClassId>,
    /// Whether the reload leaves the class as it is.
    unchanged: bool,
}

/// The active classes, and those that a reload dropped or changed while queries or attempts still
/// use them.
#[derive(Debug)]
pub(super) struct Classes {
    slots: Vec<ClassSlot>,
    metrics: Arc<Metrics>,
}

impl Classes {
    /// Creates the classes of the first configuration.
    pub(super) fn new(classes: &[Class], metrics: Arc<Metrics>) -> Self {
        let mut created = Classes {
            slots: Vec::new(),
            metrics,
        };
        created.replace(classes);
        created
    }

    /// Returns the number of the active class of this name.
    pub(super) fn find(&self, name: &str) -> Option<ClassId> {
        let index = self
            .slots
            .iter()
            .position(|slot| slot.class.active && slot.class.name == name)?;
        Some(class_id(index))
    }

    /// Returns the class of this number.
    pub(super) fn get(&self, id: ClassId) -> &Class {
        &self.slots[usize::from(id.0)].class
    }

    /// Returns the metrics of a class. A class that a reload changed keeps those of its name.
    pub(super) fn metrics(&self, id: ClassId) -> &Arc<ClassMetrics> {
        &self.slots[usize::from(id.0)].metrics
    }

    /// Adds a user of a class: a query or an attempt that has started.
    pub(super) fn acquire(&mut self, id: ClassId) {
        self.slots[usize::from(id.0)].users += 1;
    }

    /// Removes a user of a class: a query or an attempt that has ended.
    pub(super) fn release(&mut self, id: ClassId) {
        self.slots[usize::from(id.0)].users -= 1;
    }

    /// Activates the classes of a reload. An unchanged class keeps its slot. A changed one gets
    /// another slot, so that the queries that use the old class keep its settings. A slot is reused
    /// once its class is inactive and has no users.
    ///
    /// Returns for each slot the previous class whose statistics the new one continues.
    pub(super) fn replace(&mut self, classes: &[Class]) -> Vec<ClassId> {
        // All classes are compared before the first slot is reused, since that slot may belong to a
        // class that comes later in the configuration.
        let reloaded: Vec<ReloadedClass<'_>> =
            classes.iter().map(|class| self.compare(class)).collect();
        self.keep_active(&reloaded);
        let mut class_mapping: Vec<ClassId> = (0..self.slots.len()).map(class_id).collect();
        for class in reloaded.iter().filter(|class| !class.unchanged) {
            let slot = self.new_slot(class.class);
            let previous = class.current.unwrap_or(NO_PREVIOUS_CLASS);
            if let Some(index) = self.free_slot() {
                self.slots[index] = slot;
                class_mapping[index] = previous;
            } else {
                self.slots.push(slot);
                class_mapping.push(previous);
            }
        }
        class_mapping
    }

    /// Returns all classes by number, for the policy.
    pub(super) fn all(&self) -> Vec<Class> {
        self.slots.iter().map(|slot| slot.class.clone()).collect()
    }

    /// Compares a class of a reload with the active class of its name.
    fn compare<'a>(&self, class: &'a Class) -> ReloadedClass<'a> {
        let current = self.find(&class.name);
        let unchanged = current.is_some_and(|id| *self.get(id) == activated(class));
        ReloadedClass {
            class,
            current,
            unchanged,
        }
    }

    /// Deactivates all classes but those that the reload leaves unchanged.
    fn keep_active(&mut self, reloaded: &[ReloadedClass<'_>]) {
        for slot in &mut self.slots {
            slot.class.active = false;
        }
        for id in reloaded
            .iter()
            .filter(|class| class.unchanged)
            .filter_map(|class| class.current)
        {
            self.slots[usize::from(id.0)].class.active = true;
        }
    }

    fn new_slot(&self, class: &Class) -> ClassSlot {
        ClassSlot {
            class: activated(class),
            metrics: self.metrics.class(&class.name),
            users: 0,
        }
    }

    fn free_slot(&self) -> Option<usize> {
        self.slots
            .iter()
            .position(|slot| !slot.class.active && slot.users == 0)
    }
}

fn activated(class: &Class) -> Class {
    Class {
        active: true,
        ..class.clone()
    }
}

fn class_id(index: usize) -> ClassId {
    ClassId(index as u16)
}

#[cfg(test)]
mod tests;
