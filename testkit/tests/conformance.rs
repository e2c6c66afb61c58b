//! Tests of the conformance suite against the program over faulty feature servers, and against
//! injected faults; and tests of the program's discovery of capabilities.

use quinceflow_testkit::client::{Client, Response};
use quinceflow_testkit::conformance::{Outcome, Suite};
use quinceflow_testkit::fault_injection::{injected_faults, FaultInjector};
use quinceflow_testkit::feature_server::{
    devices, Capabilities, Fault, FeatureServer, InventoryEntry, InventoryState,
};
use quinceflow_testkit::process::{find_program, Configuration, FeatureFrontProcess, CLASSES};

const FEATURES_PER_SHARD: usize = 150;
const ITEMS: &str = "/collections/devices/items";

/// Faults that the program must mask while another replica is healthy.
const MASKED_FAULTS: [Fault; 8] = [
    Fault::InternalError,
    Fault::TruncatedBody,
    Fault::HtmlPage,
    Fault::CloseDelimited,
    Fault::TooManyRequests,
    Fault::ServiceUnavailable,
    Fault::ShortPage,
    Fault::Slow,
];

/// Running program over two shards, each with two replicas on servers of different capabilities.
struct Deployment {
    process: FeatureFrontProcess,
    servers: Vec<FeatureServer>,
}

/// Collection and shard of each server of a deployment.
const SERVER_COLLECTIONS: [&str; 4] = [
    "devices/north",
    "devices/north",
    "devices/south",
    "devices/south",
];

fn start_servers() -> Vec<FeatureServer> {
    let start_server = |from: usize, capabilities| {
        let features = devices(from..from + FEATURES_PER_SHARD);
        FeatureServer::start(features, capabilities).expect("the stand-in server starts")
    };
    vec![
        start_server(0, Capabilities::FiltersAndSorting),
        start_server(0, Capabilities::SimpleFilters),
        start_server(FEATURES_PER_SHARD, Capabilities::Core),
        start_server(FEATURES_PER_SHARD, Capabilities::FiltersAndSorting),
    ]
}

fn inventory_rows(servers: &[FeatureServer]) -> String {
    let row = |(index, (server, collection)): (usize, (&FeatureServer, &str))| {
        let name = format!("s{index}");
        let state = InventoryState::Unspecified;
        server.inventory_row(InventoryEntry {
            name: &name,
            collections: collection,
            state,
        })
    };
    servers
        .iter()
        .zip(SERVER_COLLECTIONS)
        .enumerate()
        .map(row)
        .collect()
}

impl Deployment {
    fn start() -> Deployment {
        let servers = start_servers();
        let rows = inventory_rows(&servers);
        // Capabilities are discovered again every second, which must not change what queries return.
        let settings = "retry_after_ms = 50\nlearned_age_s = 1\npage_size = 100";
        let program = find_program().expect("the program is built with the workspace");
        let configuration = Configuration {
            settings,
            inventory_rows: &rows,
            tables: CLASSES,
        };
        let process =
            FeatureFrontProcess::start(&program, &configuration).expect("the program starts");
        Deployment { process, servers }
    }
}

#[test]
fn service_conforms_while_one_replica_of_each_shard_is_faulty() {
    let Deployment { process, servers } = Deployment::start();
    for server in servers.iter().step_by(2) {
        // One in seven requests fails, with each of the faults in turn.
        server.set_fault_script(|request| match request.number % 7 {
            3 => MASKED_FAULTS[(request.number / 7) as usize % MASKED_FAULTS.len()],
            _ => Fault::None,
        });
    }
    let mut suite =
        Suite::open(process.address, "/").expect("the service answers the suite's first requests");
    let results = suite.run();
    // Every check applies to this deployment, so every check must pass.
    let not_passed: Vec<_> = results
        .iter()
        .filter(|result| !matches!(result.outcome, Outcome::Pass))
        .collect();
    assert!(not_passed.is_empty(), "{not_passed:#?}");
    assert!(results.len() >= 90, "only {} checks ran", results.len());
    let counters = process.counters().expect("the program logs its counters");
    assert!(
        counters.contains(" broken_invariants=0"),
        "the program counted violated invariants: {counters}"
    );
}

#[test]
fn each_injected_fault_is_detected_by_its_check() {
    let Deployment {
        process,
        servers: _servers,
    } = Deployment::start();
    let injector = FaultInjector::start(process.address).expect("the proxy starts");
    assert!(injected_faults().count() >= 25);
    let mut suite =
        Suite::open(injector.address, "/").expect("the service answers the suite's first requests");
    for fault in injected_faults() {
        injector.inject(None);
        let healthy = suite.run_one(fault.detected_by);
        assert_eq!(
            healthy,
            Some(Outcome::Pass),
            "{} without a fault",
            fault.detected_by
        );
        injector.inject(Some(fault));
        // Some faults are detected only by a suite that is opened while they are injected.
        let mut suite_opened_with_fault = Suite::open(injector.address, "/")
            .expect("the service answers the suite's first requests");
        suite_opened_with_fault.claim_all();
        let outcomes = [
            suite.run_one(fault.detected_by),
            suite_opened_with_fault.run_one(fault.detected_by),
        ];
        let failed = |outcome: &Option<Outcome>| matches!(outcome, Some(Outcome::Fail(_)));
        assert!(
            outcomes.iter().any(failed),
            "{}: {}: {outcomes:?}",
            fault.detected_by,
            fault.description
        );
    }
}

#[test]
fn first_request_to_a_new_process_can_use_queryables() {
    // A new process must discover the queryables before it answers its first request: a queryable
    // is a parameter, and any other name is rejected.
    let first_response = |query: &str| -> Response {
        let deployment = Deployment::start();
        Client::new(deployment.process.address)
            .get(&format!("{ITEMS}?{query}"))
            .expect("the program sends a response")
    };
    let all = devices(0..2 * FEATURES_PER_SHARD);
    let expected = all
        .iter()
        .filter(|device| device["properties"]["volts"] == 141)
        .count();
    assert!(expected > 0);
    let response = first_response("limit=500&volts=141");
    assert_eq!((response.status, response.ids().len()), (200, expected));
    assert_eq!(first_response("watts=141").status, 400);
    assert_eq!(first_response("filter=watts=141").status, 400);
    assert_eq!(first_response("sortby=watts").status, 400);
}

#[test]
fn capabilities_are_discovered_for_a_class_with_a_long_latency_objective() {
    // If a discovery request is predicted to be late and is rejected, the program does not discover
    // that the server can filter, and evaluates every filter itself.
    let features = devices(0..FEATURES_PER_SHARD);
    let server = FeatureServer::start(features, Capabilities::FiltersAndSorting)
        .expect("the stand-in server starts");
    let program = find_program().expect("the program is built with the workspace");
    let classes = "[[class]]\nname = \"map\"\naim_ms = 8000\ndeadline_ms = 10000\n";
    let state = InventoryState::Unspecified;
    let rows = server.inventory_row(InventoryEntry {
        name: "a",
        collections: "devices",
        state,
    });
    let configuration = Configuration {
        settings: "",
        inventory_rows: &rows,
        tables: classes,
    };
    let process = FeatureFrontProcess::start(&program, &configuration).expect("the program starts");
    let mut client = Client::new(process.address);
    let target = format!("{ITEMS}?filter=volts%3E200&sortby=-volts&limit=5");
    let response = client.get(&target).expect("the program sends a response");
    assert_eq!((response.status, response.ids().len()), (200, 5));
    let requested: Vec<String> = server
        .log()
        .into_iter()
        .map(|request| request.target)
        .collect();
    let is_forwarded_query = |target: &String| {
        target.contains("filter=") && target.contains("sortby=-volts") && target.contains("limit=5")
    };
    assert!(requested.iter().any(is_forwarded_query), "{requested:?}");
    let pages = requested
        .iter()
        .filter(|target| target.contains("/items"))
        .count();
    assert_eq!(pages, 1, "{requested:?}");
}
