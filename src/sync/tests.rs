//! Tests of locking poisoned mutexes.

use super::lock;
use std::sync::Mutex;

#[test]
fn mutex_poisoned_by_a_panic_can_be_locked() {
    let counter = Mutex::new(1);
    let panicked = std::thread::scope(|scope| {
        let thread = scope.spawn(|| {
            let _guard = counter.lock().expect("the mutex is not poisoned yet");
            panic!("this panic poisons the mutex");
        });
        thread.join().is_err()
    });
    assert!(panicked && counter.is_poisoned());
    *lock(&counter) += 1;
    assert_eq!(*lock(&counter), 2);
}
