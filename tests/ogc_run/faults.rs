//! The run under faults.

use crate::run::{Run, CLIENTS, MAX_RESPONSE_MS};
use std::time::Duration;

#[test]
#[ignore = "it takes minutes; see the head of main.rs"]
fn responses_are_right_and_in_time_under_minutes_of_faults() {
    let minutes: f64 = std::env::var("MINUTES")
        .ok()
        .and_then(|m| m.parse().ok())
        .unwrap_or(3.0);
    let run = Run::start();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let run = &run;
            scope.spawn(move || run.run_client(client));
        }
        run.inject_faults(Duration::from_secs_f64(minutes * 60.0));
    });
    run.edge.signal("USR1");
    println!("{}", run.edge.wait_for_log("counters"));
    let starts = run.non_idempotent_starts_per_page();
    let repeated = starts.iter().filter(|count| **count > 1).count();
    let continued = run.starts_before_pages.lock().expect("starts").len();
    let tally = run.tally.lock().expect("tally");
    let drained_requests = run.drained_requests.lock().expect("drains");
    println!(
        "{minutes} minutes; {} responses, slowest {} ms",
        tally.responses, tally.slowest_ms
    );
    println!("queries by class and kind:");
    tally
        .walks
        .iter()
        .for_each(|((class, kind), n)| println!("  {class:6} {kind:19} {n}"));
    println!("requests to servers that drained, from 300 ms on: {drained_requests:?}");
    println!(
        "non-idempotent parts: started {}, more than once {repeated}",
        starts.len()
    );
    println!("non-idempotent queries that went on to further pages: {continued}");
    assert!(
        !starts.is_empty(),
        "no query of the non-idempotent class was seen"
    );
    assert_eq!(repeated, 0);
    assert!(drained_requests.iter().all(|n| *n == 0));
    assert!(
        tally.slowest_ms < MAX_RESPONSE_MS,
        "a response came after its client's time"
    );
    assert!(!tally.walks.keys().any(|(_, kind)| kind == "wrong"));
}
