//! Tests of the classes across reloads.

use super::{Classes, NO_PREVIOUS_CLASS};
use crate::interface::{Class, ClassId};
use crate::test_fixtures;
use std::sync::Arc;

fn class(name: &str, max_attempts: u32) -> Class {
    Class {
        max_attempts,
        ..test_fixtures::class(name)
    }
}

/// Returns the name and the maximum number of attempts of each active class, in order of the names.
fn active_classes(classes: &Classes) -> Vec<(String, u32)> {
    let mut active: Vec<_> = classes
        .all()
        .into_iter()
        .filter(|class| class.active)
        .map(|class| (class.name, class.max_attempts))
        .collect();
    active.sort();
    active
}

#[test]
fn reload_that_changes_all_classes_keeps_all_active() {
    // Regression: an earlier class reused the slot of a later one, which then counted as unchanged.
    let mut classes = Classes::new(&[class("a", 4), class("b", 4)], Arc::default());
    let class_mapping = classes.replace(&[class("a", 2), class("b", 2), class("c", 2)]);
    assert_eq!(
        active_classes(&classes),
        [
            ("a".to_owned(), 2),
            ("b".to_owned(), 2),
            ("c".to_owned(), 2)
        ]
    );
    let previous =
        |name: &str| class_mapping[usize::from(classes.find(name).expect("the class is active").0)];
    assert_eq!(
        (previous("a"), previous("b"), previous("c")),
        (ClassId(0), ClassId(1), NO_PREVIOUS_CLASS)
    );
}

#[test]
fn slot_of_a_replaced_class_is_reused_only_after_its_last_user_ends() {
    let mut classes = Classes::new(&[class("a", 4), class("b", 4)], Arc::default());
    let a = classes.find("a").expect("the class is active");
    classes.acquire(a);
    classes.replace(&[class("a", 1), class("b", 4)]);
    assert_eq!(
        (classes.get(a).max_attempts, classes.find("b")),
        (4, Some(ClassId(1)))
    );
    assert_eq!(
        classes
            .get(classes.find("a").expect("the class is active"))
            .max_attempts,
        1
    );
    // Class a is dropped. Its first slot is still in use, so c reuses the second one; d reuses the
    // first slot after its release.
    classes.replace(&[class("b", 4), class("c", 1)]);
    assert_eq!(
        (classes.find("a"), classes.find("c")),
        (None, Some(ClassId(2)))
    );
    classes.release(a);
    classes.replace(&[class("b", 4), class("c", 1), class("d", 1)]);
    assert_eq!((classes.find("d"), classes.all().len()), (Some(a), 3));
}
