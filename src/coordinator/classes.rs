//! The classes by name and by number. The module knows a class by its place; names outlive places.

use super::metrics::{ClassMetrics, Metrics};
use crate::interface::{Class, ClassId};
use std::sync::Arc;

/// No class: a new one has nobody's seen figures to go on with.
const NO_PREDECESSOR: ClassId = ClassId(u16::MAX);

#[derive(Debug)]
struct ClassSlot {
    class: Class,
    metrics: Arc<ClassMetrics>,
    /// Queries and attempts that began with it and have not ended.
    users: usize,
}

/// The classes in force, and those that only live on for what began with them.
#[derive(Debug)]
pub struct Classes {
    slots: Vec<ClassSlot>,
    metrics: Arc<Metrics>,
}

impl Classes {
    /// The first ones.
    pub fn new(classes: &[Class], metrics: Arc<Metrics>) -> Self {
        let mut all = Classes { slots: Vec::new(), metrics };
        all.replace(classes);
        all
    }

    /// The number of the class in force that has this name.
    pub fn find(&self, name: &str) -> Option<ClassId> {
        let at = self.slots.iter().position(|p| p.class.in_force && p.class.name == name)?;
        Some(ClassId(at as u16))
    }

    /// What it says.
    pub fn get(&self, id: ClassId) -> &Class {
        &self.slots[usize::from(id.0)].class
    }

    /// Where its figures are counted.
    pub fn metrics(&self, id: ClassId) -> &Arc<ClassMetrics> {
        &self.slots[usize::from(id.0)].metrics
    }

    /// A query or an attempt begins with it.
    pub fn acquire(&mut self, id: ClassId) {
        self.slots[usize::from(id.0)].users += 1;
    }

    /// One has ended.
    pub fn release(&mut self, id: ClassId) {
        self.slots[usize::from(id.0)].users -= 1;
    }

    /// From now on these are in force: whose seen figures each place goes on with. A class that is as it was keeps its
    /// place; one that changed gets another, so that what began with the old one keeps its rules. A place is used
    /// again once nothing is left that began with it.
    pub fn replace(&mut self, classes: &[Class]) -> Vec<ClassId> {
        let before: Vec<Option<ClassId>> = classes.iter().map(|c| self.find(&c.name)).collect();
        let same = |class: &Class, id: &ClassId| *self.get(*id) == Class { in_force: true, ..class.clone() };
        let stays: Vec<bool> =
            classes.iter().zip(&before).map(|(c, b)| b.is_some_and(|b| same(c, &b))).collect();
        let mut heirs: Vec<ClassId> = (0..self.slots.len()).map(|at| ClassId(at as u16)).collect();
        self.slots.iter_mut().for_each(|p| p.class.in_force = false);
        for id in before.iter().zip(&stays).filter_map(|(b, stays)| b.filter(|_| *stays)) {
            self.slots[usize::from(id.0)].class.in_force = true;
        }
        // Decided before the first place is used again: it may be that of a class that comes later in the file.
        for ((class, before), _) in classes.iter().zip(before).zip(stays).filter(|(_, stays)| !stays) {
            let metrics = self.metrics.class(&class.name);
            let place = ClassSlot { class: Class { in_force: true, ..class.clone() }, metrics, users: 0 };
            let heir = before.unwrap_or(NO_PREDECESSOR);
            match self.slots.iter().position(|p| !p.class.in_force && p.users == 0) {
                Some(at) => (self.slots[at], heirs[at]) = (place, heir),
                None => {
                    self.slots.push(place);
                    heirs.push(heir);
                }
            }
        }
        heirs
    }

    /// What the module is told.
    pub fn all(&self) -> Vec<Class> {
        self.slots.iter().map(|p| p.class.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
