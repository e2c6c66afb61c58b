//! Tests of the classes over reloads.

use super::{Classes, NO_PREDECESSOR};
use crate::interface::{Class, ClassId, Effect};
use std::sync::Arc;

fn class(name: &str, max_attempts: u32) -> Class {
    Class {
        name: name.to_owned(),
        in_force: true,
        latency_objective: 1,
        objective_stretch: 0.0,
        deadline: 2,
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_weight: 0.0,
        required_share: 1.0,
        min_share: 1.0,
        follow_up: 0,
        max_attempts,
    }
}

/// The classes in force: name, attempts, place.
fn in_force(classes: &Classes) -> Vec<(String, u32, u16)> {
    let listed = classes.all().into_iter().filter(|c| c.in_force);
    let mut all: Vec<_> =
        listed.map(|c| (c.name.clone(), c.max_attempts, classes.find(&c.name).expect("listed").0)).collect();
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
    assert_eq!((heir("a"), heir("b"), heir("c")), (ClassId(0), ClassId(1), NO_PREDECESSOR));
}

#[test]
fn a_place_lives_until_what_began_with_it_has_ended() {
    let mut classes = Classes::new(&[class("a", 4), class("b", 4)], Arc::default());
    let a = classes.find("a").expect("in force");
    classes.acquire(a);
    classes.replace(&[class("a", 1), class("b", 4)]);
    assert_eq!((classes.get(a).max_attempts, classes.find("b")), (4, Some(ClassId(1))));
    assert_eq!(classes.get(classes.find("a").expect("in force")).max_attempts, 1);
    // Dropped, and its first place still in use: a third one is needed; after its end it is used again.
    classes.replace(&[class("b", 4), class("c", 1)]);
    assert_eq!((classes.find("a"), classes.find("c")), (None, Some(ClassId(2))));
    classes.release(a);
    classes.replace(&[class("b", 4), class("c", 1), class("d", 1)]);
    assert_eq!((classes.find("d"), classes.all().len()), (Some(a), 3));
}
