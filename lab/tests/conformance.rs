//! The conformance suite against the edge over stand-ins that misbehave, and against services with planted faults.

use quinceflow_testkit::client::Client;
use quinceflow_testkit::conformance::{Outcome, Suite};
use quinceflow_testkit::fault_injection::{FaultInjector, INJECTED_FAULTS};
use quinceflow_testkit::feature_server::{devices, Capabilities, Fault, FeatureServer};
use quinceflow_testkit::process::{find_program, EdgeProcess, CLASSES};

const FEATURES_PER_SHARD: usize = 150;

fn start() -> (EdgeProcess, Vec<FeatureServer>) {
    let of = |from: usize, skill| {
        FeatureServer::start(devices(from..from + FEATURES_PER_SHARD), skill).expect("a stand-in")
    };
    let servers = vec![
        of(0, Capabilities::FiltersAndSorting),
        of(0, Capabilities::SimpleFilters),
        of(FEATURES_PER_SHARD, Capabilities::Core),
        of(FEATURES_PER_SHARD, Capabilities::FiltersAndSorting),
    ];
    let held = ["devices/north", "devices/north", "devices/south", "devices/south"];
    let rows: String = servers
        .iter()
        .zip(held)
        .enumerate()
        .map(|(n, (s, h))| s.inventory_row(&format!("s{n}"), h, ""))
        .collect();
    let program = find_program().expect("the program is built with the workspace");
    // Learned again all the time: what servers can do must not change what comes out.
    let settings = "retry_after_ms = 50\nlearned_age_s = 1\npage_size = 100";
    (EdgeProcess::start(&program, settings, &rows, CLASSES).expect("it starts"), servers)
}

#[test]
fn the_edge_conforms_over_servers_that_misbehave() {
    let (edge, servers) = start();
    // Every seventh request or so to one of each two replicas is struck, each time by another fault.
    let mix = [
        Fault::InternalError,
        Fault::TruncatedBody,
        Fault::HtmlPage,
        Fault::CloseDelimited,
        Fault::TooManyRequests,
        Fault::ServiceUnavailable,
        Fault::ShortPage,
        Fault::Slow,
    ];
    for (n, server) in servers.iter().enumerate() {
        server.set_fault_script(move |number, _| {
            let struck = n % 2 == 0 && number % 7 == 3;
            if struck {
                mix[(number / 7) as usize % mix.len()]
            } else {
                Fault::None
            }
        });
    }
    let mut suite = Suite::open(edge.address, "/").expect("it answers");
    let made = suite.run();
    let failed: Vec<_> = made.iter().filter(|c| !matches!(c.outcome, Outcome::Pass)).collect();
    // A count that the servers tell stays right; nothing here has a reason not to apply.
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(made.len() >= 90, "{}", made.len());
    let counters = edge.counters().expect("told");
    assert!(counters.contains(" broken_invariants=0"), "{counters}");
}

#[test]
fn every_planted_fault_is_found_by_the_check_meant_for_it() {
    let (edge, _servers) = start();
    let injector = FaultInjector::start(edge.address).expect("it starts");
    assert!(INJECTED_FAULTS.len() >= 25);
    let mut suite = Suite::open(injector.address, "/").expect("it answers");
    for fault in INJECTED_FAULTS {
        injector.inject(None);
        let sound = suite.run_one(fault.found_by);
        assert_eq!(sound, Some(Outcome::Pass), "{} without a fault", fault.found_by);
        injector.inject(Some(fault));
        // What is wrong from the begin on is seen when the suite is opened.
        let mut own = Suite::open(injector.address, "/").expect("it answers");
        own.claim_all();
        let found = [suite.run_one(fault.found_by), own.run_one(fault.found_by)];
        let failed = |o: &Option<Outcome>| matches!(o, Some(Outcome::Fail(_)));
        assert!(found.iter().any(failed), "{}: {}: {found:?}", fault.found_by, fault.description);
    }
}

#[test]
fn whether_a_name_can_be_asked_for_does_not_hang_on_who_asked_before() {
    // Until somebody had filtered, a queryable was an unknown parameter and any name a good one.
    let ask = |target: &str| {
        let (edge, _servers) = start();
        let answer = Client::new(edge.address).get(target).expect("an answer");
        (answer.status, answer.ids().len())
    };
    let expected =
        devices(0..2 * FEATURES_PER_SHARD).iter().filter(|f| f["properties"]["volts"] == 141).count();
    assert!(expected > 0);
    assert_eq!(ask("/collections/devices/items?limit=500&volts=141"), (200, expected));
    assert_eq!(ask("/collections/devices/items?watts=141").0, 400);
    assert_eq!(ask("/collections/devices/items?filter=watts=141").0, 400);
    assert_eq!(ask("/collections/devices/items?sortby=watts").0, 400);
}

#[test]
fn what_servers_can_do_is_learned_in_a_class_with_a_long_aim_too() {
    // The module took the look for one that would come late, refused it, and all was filtered here for good.
    let server = FeatureServer::start(devices(0..FEATURES_PER_SHARD), Capabilities::FiltersAndSorting)
        .expect("a stand-in");
    let program = find_program().expect("the program is built with the workspace");
    let classes = "[[class]]\nname = \"map\"\naim_ms = 8000\ndeadline_ms = 10000\n";
    let edge = EdgeProcess::start(&program, "", &server.inventory_row("a", "devices", ""), classes)
        .expect("it starts");
    let mut client = Client::new(edge.address);
    let answer =
        client.get("/collections/devices/items?filter=volts%3E200&sortby=-volts&limit=5").expect("an answer");
    assert_eq!((answer.status, answer.ids().len()), (200, 5));
    let asked: Vec<String> = server.log().into_iter().map(|request| request.target).collect();
    assert!(
        asked.iter().any(|t| t.contains("filter=") && t.contains("sortby=-volts") && t.contains("limit=5")),
        "{asked:?}"
    );
    assert_eq!(asked.iter().filter(|t| t.contains("/items")).count(), 1, "{asked:?}");
}
