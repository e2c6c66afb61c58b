//! The classes by name and by number. The module knows a class by its place; names outlive places.

use super::figures::{Figures, Tally};
use crate::interface::{Class, ClassId};
use std::sync::Arc;

/// No class: a new one has nobody's seen figures to go on with.
const NONE: ClassId = ClassId(u16::MAX);

#[derive(Debug)]
struct Place {
    class: Class,
    tally: Arc<Tally>,
    /// Queries and attempts that began with it and have not ended.
    users: usize,
}

/// The classes in force, and those that only live on for what began with them.
#[derive(Debug)]
pub struct Classes {
    places: Vec<Place>,
    figures: Arc<Figures>,
}

impl Classes {
    /// The first ones.
    pub fn new(classes: &[Class], figures: Arc<Figures>) -> Self {
        let mut all = Classes { places: Vec::new(), figures };
        all.replace(classes);
        all
    }

    /// The number of the class in force that has this name.
    pub fn find(&self, name: &str) -> Option<ClassId> {
        let at = self.places.iter().position(|p| p.class.listed && p.class.name == name)?;
        Some(ClassId(at as u16))
    }

    /// What it says.
    pub fn get(&self, id: ClassId) -> &Class {
        &self.places[usize::from(id.0)].class
    }

    /// Where its figures are counted.
    pub fn tally(&self, id: ClassId) -> &Arc<Tally> {
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
        let mut heirs: Vec<ClassId> = (0..self.places.len()).map(|at| ClassId(at as u16)).collect();
        self.places.iter_mut().for_each(|p| p.class.listed = false);
        for (class, before) in classes.iter().zip(&before) {
            let class = Class { listed: true, ..class.clone() };
            if let Some(place) = before.map(|b| &mut self.places[usize::from(b.0)]) {
                if (Class { listed: true, ..place.class.clone() }) == class {
                    place.class.listed = true;
                }
            }
        }
        for (class, before) in classes.iter().zip(before) {
            if before.is_some_and(|b| self.get(b).listed) {
                continue;
            }
            let tally = self.figures.class(&class.name);
            let place = Place { class: Class { listed: true, ..class.clone() }, tally, users: 0 };
            let heir = before.unwrap_or(NONE);
            match self.places.iter().position(|p| !p.class.listed && p.users == 0) {
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
