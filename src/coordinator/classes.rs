//! The classes by name and by number. The module knows a class by its place; names outlive places.

use super::figures::{ClassMetrics, Metrics};
use crate::interface::{Class, ClassId};
use std::sync::Arc;

/// No class: a new one has nobody's seen figures to go on with.
const NONE: ClassId = ClassId(u16::MAX);

#[derive(Debug)]
struct Place {
    class: Class,
    tally: Arc<ClassMetrics>,
    /// Queries and attempts that began with it and have not ended.
    users: usize,
}

/// The classes in force, and those that only live on for what began with them.
#[derive(Debug)]
pub struct Classes {
    places: Vec<Place>,
    figures: Arc<Metrics>,
}

impl Classes {
    /// The first ones.
    pub fn new(classes: &[Class], figures: Arc<Metrics>) -> Self {
        let mut all = Classes { places: Vec::new(), figures };
        all.replace(classes);
        all
    }

    /// The number of the class in force that has this name.
    pub fn find(&self, name: &str) -> Option<ClassId> {
        let at = self.places.iter().position(|p| p.class.active && p.class.name == name)?;
        Some(ClassId(at as u16))
    }

    /// What it says.
    pub fn get(&self, id: ClassId) -> &Class {
        &self.places[usize::from(id.0)].class
    }

    /// Where its figures are counted.
    pub fn tally(&self, id: ClassId) -> &Arc<ClassMetrics> {
        &self.places[usize::from(id.0)].tally
    }

    /// A query or an attempt begins with it.
    pub fn begin(&mut self, id: ClassId) {
        self.places[usize::from(id.0)].users += 1;
    }

    /// One has ended.
    pub fn end(&mut self, id: ClassId) {
        self.places[usize::from(id.0)].users -= 1;
    }

    /// From now on these are in force: whose seen figures each place goes on with. A class that is as it was keeps its
    /// place; one that changed gets another, so that what began with the old one keeps its rules. A place is used
    /// again once nothing is left that began with it.
    pub fn replace(&mut self, classes: &[Class]) -> Vec<ClassId> {
        let before: Vec<Option<ClassId>> = classes.iter().map(|c| self.find(&c.name)).collect();
        let same = |class: &Class, id: &ClassId| *self.get(*id) == Class { active: true, ..class.clone() };
        let stays: Vec<bool> =
            classes.iter().zip(&before).map(|(c, b)| b.is_some_and(|b| same(c, &b))).collect();
        let mut heirs: Vec<ClassId> = (0..self.places.len()).map(|at| ClassId(at as u16)).collect();
        self.places.iter_mut().for_each(|p| p.class.active = false);
        for id in before.iter().zip(&stays).filter_map(|(b, stays)| b.filter(|_| *stays)) {
            self.places[usize::from(id.0)].class.active = true;
        }
        // Decided before the first place is used again: it may be that of a class that comes later in the file.
        for ((class, before), _) in classes.iter().zip(before).zip(stays).filter(|(_, stays)| !stays) {
            let tally = self.figures.class(&class.name);
            let place = Place { class: Class { active: true, ..class.clone() }, tally, users: 0 };
            let heir = before.unwrap_or(NONE);
            match self.places.iter().position(|p| !p.class.active && p.users == 0) {
                Some(at) => (self.places[at], heirs[at]) = (place, heir),
                None => {
                    self.places.push(place);
                    heirs.push(heir);
                }
            }
        }
        heirs
    }

    /// What the module is told.
    pub fn told(&self) -> Vec<Class> {
        self.places.iter().map(|p| p.class.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::Effect;

    fn class(name: &str, max_attempts: u32) -> Class {
        Class {
            name: name.to_owned(),
            active: true,
            latency_objective: 1,
            objective_stretch: 0.0,
            deadline: 2,
            effect: Effect::Idempotent,
            priority_weight: 1.0,
            late_weight: 0.0,
            required_share: 1.0,
            min_share: 1.0,
            follow_up_parts: 0,
            max_attempts,
        }
    }

    /// The classes in force: name, attempts, place.
    fn in_force(classes: &Classes) -> Vec<(String, u32, u16)> {
        let listed = classes.told().into_iter().filter(|c| c.active);
        let mut all: Vec<_> = listed
            .map(|c| (c.name.clone(), c.max_attempts, classes.find(&c.name).expect("listed").0))
            .collect();
        all.sort();
        all
    }

    #[test]
    fn a_reload_that_changes_all_classes_loses_none() {
        // The place of a later class was given to an earlier one, and the later one was taken for unchanged.
        let mut classes = Classes::new(&[class("a", 4), class("b", 4)], Arc::default());
        let heirs = classes.replace(&[class("a", 2), class("b", 2), class("c", 2)]);
        let names: Vec<_> = in_force(&classes).into_iter().map(|c| (c.0, c.1)).collect();
        assert_eq!(names, [("a".to_owned(), 2), ("b".to_owned(), 2), ("c".to_owned(), 2)]);
        let heir = |name: &str| heirs[usize::from(classes.find(name).expect("in force").0)];
        assert_eq!((heir("a"), heir("b"), heir("c")), (ClassId(0), ClassId(1), NONE));
    }

    #[test]
    fn a_place_lives_until_what_began_with_it_has_ended() {
        let mut classes = Classes::new(&[class("a", 4), class("b", 4)], Arc::default());
        let a = classes.find("a").expect("in force");
        classes.begin(a);
        classes.replace(&[class("a", 1), class("b", 4)]);
        assert_eq!((classes.get(a).max_attempts, classes.find("b")), (4, Some(ClassId(1))));
        assert_eq!(classes.get(classes.find("a").expect("in force")).max_attempts, 1);
        // Dropped, and its first place still in use: a third one is needed; after its end it is used again.
        classes.replace(&[class("b", 4), class("c", 1)]);
        assert_eq!((classes.find("a"), classes.find("c")), (None, Some(ClassId(2))));
        classes.end(a);
        classes.replace(&[class("b", 4), class("c", 1), class("d", 1)]);
        assert_eq!((classes.find("d"), classes.told().len()), (Some(a), 3));
    }
}
