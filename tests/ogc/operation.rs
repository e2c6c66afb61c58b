//! Operation of the feature front: draining, overload, shutdown and counters.

use crate::standin::admin_endpoint::call_admin_endpoint;
use crate::standin::client::{send_request, send_trailing_bytes_and_disconnect};
use crate::standin::feature_server::{
    inventory_row, inventory_row_in_state, FeatureServer, ServerResponse,
};
use crate::standin::process::Process;
use crate::support::{feature_ids, GatedServer, ITEMS};

/// Waits until the grace period of draining is over: a query to the collection `hung` times out
/// after 400 ms.
fn wait_for_drain_grace(process: &Process) {
    let timed_out = process.get_with_headers("/collections/hung/items", "X-Qos: brief\r\n");
    assert_eq!(timed_out.status, 504);
}

#[test]
fn a_draining_server_gets_no_further_pages_and_a_failed_reload_changes_nothing() {
    let draining = GatedServer::start(0..6, 2);
    let healthy = FeatureServer::healthy(0..6, 2);
    let hung = FeatureServer::start(|_| ServerResponse::Hang);
    let hung_row = inventory_row("h", &hung, "hung");
    let rows = inventory_row("a", &draining.server, "devices") + &hung_row;
    let rows_with_drain = inventory_row_in_state("a", &draining.server, "devices", "draining")
        + &inventory_row("b", &healthy, "devices")
        + &hung_row;
    let process = Process::start_feature_front("drain", "", &rows);

    std::thread::scope(|scope| {
        let client = scope.spawn(|| process.get(ITEMS));
        draining.wait_for_request();
        process.write_inventory("a,nowhere,devices,\n");
        process.signal("HUP");
        let rejected = process.wait_for_log("inventory reload rejected");
        assert!(rejected.contains("i.csv:2: address: "));
        process.reload_inventory(&rows_with_drain);
        wait_for_drain_grace(&process);
        draining.open();
        let response = client.join().expect("the thread does not panic");
        assert_eq!((response.status, response.ids()), (200, feature_ids(0..6)));
    });

    let requests = || draining.server.count_requests(|_| true);
    assert_eq!(
        requests(),
        1,
        "no page was requested after the grace period"
    );
    assert_eq!(process.get(ITEMS).status, 200);
    assert_eq!(requests(), 1);
}

#[test]
fn queries_beyond_max_in_flight_are_rejected_with_retry_after() {
    let hung = FeatureServer::start(|_| ServerResponse::Hang);
    let process = Process::start_feature_front(
        "burst",
        "most_held = 4\nretry_after_ms = 1500",
        &inventory_row("a", &hung, "devices"),
    );
    let statuses = std::thread::scope(|scope| {
        let send = || process.get_with_headers(ITEMS, "X-Qos: brief\r\n");
        let clients: Vec<_> = (0..12).map(|_| scope.spawn(send)).collect();
        clients
            .into_iter()
            .map(|a| a.join().expect("the thread does not panic"))
            .collect::<Vec<_>>()
    });
    let rejected: Vec<_> = statuses.iter().filter(|a| a.status == 503).collect();
    assert!(
        !rejected.is_empty() && statuses.iter().all(|a| matches!(a.status, 503 | 504)),
        "{statuses:?}"
    );
    assert!(
        rejected
            .iter()
            .all(|a| matches!(a.headers["retry-after"].as_str(), "1" | "2")),
        "{rejected:?}"
    );
}

#[test]
fn after_sigterm_pending_queries_are_answered_before_the_exit() {
    let gated = GatedServer::start(0..2, 2);
    let rows = inventory_row("a", &gated.server, "devices");
    let mut process = Process::start_feature_front("end", "", &rows);
    std::thread::scope(|scope| {
        let client = scope
            .spawn(|| process.send_request(&format!("GET {ITEMS} HTTP/1.1\r\nHost: x\r\n\r\n")));
        gated.wait_for_request();
        process.signal("TERM");
        process.wait_for_log("graceful shutdown started");
        gated.open();
        // The connection is persistent: it ends when the process exits.
        assert_eq!(
            client.join().expect("the thread does not panic").status,
            200
        );
    });
    assert!(process.wait_for_exit());
}

#[test]
fn feature_queries_are_counted_by_class() {
    let server = FeatureServer::healthy(0..3, 2);
    let process = Process::start_feature_front(
        "figures",
        "mgmt = \"127.0.0.1:0\"",
        &inventory_row("a", &server, "devices"),
    );
    let dump = |call: &str| call_admin_endpoint(process.admin_address(), call);
    while dump("HEALTH\n") != "YES\n" {}
    assert_eq!(process.get(ITEMS).status, 200);
    assert_eq!(
        process.get_with_headers(ITEMS, "X-Qos: once\r\n").status,
        200
    );
    let text = dump("DUMP\n");
    // Each page is an attempt; an answer of two pages counts as one answer.
    for metric in [
        "exact.ok=1",
        "exact.tries=2",
        "once.ok=1",
        "once.tries=2",
        "part.ok=0",
    ] {
        assert!(
            text.contains(&format!("\nnode.responses.{metric}\n")),
            "{metric} is not in {text}"
        );
    }
    assert!(
        text.contains("\nnode.pool_size=1\n") && text.contains("\nnode.active=0\n"),
        "{text}"
    );
}

/// Guards against work for a client that has disconnected after it sent more bytes after its request
/// than the process buffers.
#[test]
fn the_disconnect_of_a_client_with_many_unread_bytes_is_detected() {
    for bytes in [1_500_000, 3_000_000, 60_000_000] {
        // Each case has its own process, since a process that has recorded the hang would reject the
        // next query before it is sent.
        let hung = FeatureServer::start(|_| ServerResponse::Hang);
        let test = format!("unread-{bytes}");
        let process =
            Process::start_feature_front(&test, "", &inventory_row("a", &hung, "devices"));
        let request = format!("GET {ITEMS} HTTP/1.1\r\nHost: x\r\n\r\n");
        send_trailing_bytes_and_disconnect(send_request(&process, &request), bytes);
        process.wait_for_counter("queries_abandoned", 1);
    }
}
