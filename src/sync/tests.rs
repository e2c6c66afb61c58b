//! Tests of the lock helper.

use super::lock;
use std::sync::Mutex;

#[test]
fn a_mutex_poisoned_by_a_panic_is_locked_all_the_same() {
    let counter = Mutex::new(1);
    let panicked = std::thread::scope(|scope| {
        let thread = scope.spawn(|| {
            let _guard = counter.lock().expect("not poisoned yet");
            panic!("poisons the mutex");
        });
        thread.join().is_err()
    });
    assert!(panicked && counter.is_poisoned());
    *lock(&counter) += 1;
    assert_eq!(*lock(&counter), 2);
}
