//! Endpoint lists: readiness, stale lists and the removal of servers.

use crate::support::{
    coordinator, endpoint_list, fleet, server, server_number, submit, IDEMPOTENT, START,
};
use quinceflow::coordinator::{Answer, Command, Coordinator, Input, ServerEndpoint, Token};
use quinceflow::time::Micros;
use quinceflow::{EndpointListKind, EndpointState, ReplicaId};
use std::collections::BTreeSet;

/// Returns the number of dispatches to a server.
fn dispatches_to(commands: &[Command], number: u8) -> usize {
    let to_server = |command: &&Command| match command {
        Command::Dispatch { replica, .. } => server_number(*replica) == number,
        _ => false,
    };
    commands.iter().filter(to_server).count()
}

/// Returns the number of rejections of a request.
fn rejections_of(commands: &[Command], request: Token) -> usize {
    let is_rejection = |command: &&Command| match command {
        Command::Reply { token, answer } => {
            *token == request && matches!(answer, Answer::Rejected { .. })
        }
        _ => false,
    };
    commands.iter().filter(is_rejection).count()
}

#[test]
fn removed_servers_are_not_kept_and_their_ids_not_reused() {
    // The names, addresses and connections of removed servers are not kept.
    let mut now = START;
    let mut coordinator = coordinator();
    let mut commands = Vec::new();
    let mut assigned_ids = BTreeSet::new();
    let mut present_ids: BTreeSet<ReplicaId> = BTreeSet::new();
    for number in 0..400 {
        now = now + Micros::from_secs(1);
        let servers = [
            server(number, EndpointState::Removed),
            server(number + 1, EndpointState::Ready),
        ];
        coordinator.turn(
            now,
            [endpoint_list(EndpointListKind::Delta, None, servers)],
            &mut commands,
        );
        for command in commands.drain(..) {
            match command {
                Command::UpdateServer {
                    replica,
                    ready: true,
                    ..
                } => {
                    assert!(assigned_ids.insert(replica) && present_ids.insert(replica));
                }
                Command::RemoveServer(replica) => {
                    present_ids.remove(&replica);
                }
                _ => {}
            }
        }
        let kept = coordinator.known_endpoints();
        assert!(
            kept <= 35 && present_ids.len() <= 35,
            "{kept} endpoints are kept"
        );
    }
}

#[test]
fn list_with_a_duplicate_or_no_endpoint_causes_no_dispatch_to_a_draining_or_unlisted_server() {
    let mut coordinator = coordinator();
    let mut commands = Vec::new();
    let full = |servers: Vec<ServerEndpoint>| endpoint_list(EndpointListKind::Full, None, servers);
    coordinator.turn(START, [fleet()], &mut commands);
    let duplicate = vec![
        server(0, EndpointState::Ready),
        server(0, EndpointState::Draining),
        server(1, EndpointState::Ready),
        server(2, EndpointState::Ready),
    ];
    coordinator.turn(START, [full(duplicate)], &mut commands);
    for token in 0..4 {
        coordinator.turn(START, [submit(token, IDEMPOTENT, 2, START)], &mut commands);
    }
    let dispatches = [0, 1, 2].map(|number| dispatches_to(&commands, number));
    assert_eq!(
        dispatches[0], 0,
        "the last entry of the server has it as draining"
    );
    assert_eq!(dispatches[1] + dispatches[2], 8);

    commands.clear();
    let later = START + Micros::from_secs(1);
    let inputs = [full(Vec::new()), submit(9, IDEMPOTENT, 2, later)];
    coordinator.turn(later, inputs, &mut commands);
    for ms in (0..1_000).step_by(10) {
        coordinator.turn(later + Micros::from_millis(ms), [], &mut commands);
    }
    let dispatches: usize = (0..3).map(|number| dispatches_to(&commands, number)).sum();
    assert_eq!(dispatches, 0, "no server is listed");
    assert_eq!(rejections_of(&commands, Token(9)), 1);
}

/// A change of a server's readiness: the number of the server, and whether it is ready.
#[derive(Debug, PartialEq)]
struct Readiness {
    server: u8,
    ready: bool,
}

/// Returns the change of a server that becomes ready.
fn ready(server: u8) -> Readiness {
    Readiness {
        server,
        ready: true,
    }
}

/// Returns the change of a server that is no longer ready.
fn not_ready(server: u8) -> Readiness {
    Readiness {
        server,
        ready: false,
    }
}

/// Applies an endpoint update and returns what it changes.
fn apply(coordinator: &mut Coordinator, update: Input) -> Vec<Readiness> {
    let mut commands = Vec::new();
    coordinator.turn(START, [update], &mut commands);
    let changes = commands.into_iter().filter_map(|command| match command {
        Command::UpdateServer { replica, ready, .. } => Some(Readiness {
            server: server_number(replica),
            ready,
        }),
        _ => None,
    });
    changes.collect()
}

/// Returns a list of this version.
fn list(version: u64, kind: EndpointListKind, servers: Vec<ServerEndpoint>) -> Input {
    endpoint_list(kind, Some(version), servers)
}

/// Returns a server that started at this time.
fn started(number: u16, state: EndpointState, seconds: u64) -> ServerEndpoint {
    ServerEndpoint {
        started_at: Some(Micros::from_secs(seconds)),
        ..server(number, state)
    }
}

/// Returns three servers, of which the last two are ready.
fn fleet_with(first: ServerEndpoint) -> Vec<ServerEndpoint> {
    vec![
        first,
        started(1, EndpointState::Ready, 50),
        server(2, EndpointState::Ready),
    ]
}

/// Returns a coordinator whose list has version 8: of three servers, the first drains.
fn coordinator_with_drain() -> Coordinator {
    let mut coordinator = coordinator();
    let first = fleet_with(started(0, EndpointState::Ready, 50));
    let changes = apply(&mut coordinator, list(7, EndpointListKind::Full, first));
    assert_eq!(changes, [ready(0), ready(1), ready(2)]);
    let drain = vec![started(0, EndpointState::Draining, 50)];
    let changes = apply(&mut coordinator, list(8, EndpointListKind::Delta, drain));
    assert_eq!(changes, [not_ready(0)]);
    coordinator
}

#[test]
fn stale_list_reverts_no_drain_and_removes_no_server() {
    // After discovery has moved, or was restored from an older copy, its list has draining servers as
    // ready and lacks newer servers. The former must get no parts again, and the latter must stay in
    // use.
    let mut coordinator = coordinator_with_drain();

    let before_the_drain = vec![started(0, EndpointState::Ready, 50)];
    let changes = apply(
        &mut coordinator,
        list(6, EndpointListKind::Full, before_the_drain),
    );
    assert_eq!(
        changes,
        [],
        "the drain is kept, and so are unlisted servers"
    );
    let mut commands = Vec::new();
    coordinator.turn(START, [submit(1, IDEMPOTENT, 2, START)], &mut commands);
    let to_draining = dispatches_to(&commands, 0);
    assert_eq!(to_draining, 0, "nothing is sent to the draining server");

    let restarted = fleet_with(started(0, EndpointState::Ready, 90));
    let changes = apply(&mut coordinator, list(6, EndpointListKind::Full, restarted));
    assert_eq!(
        changes,
        [ready(0)],
        "the server has restarted since the drain"
    );
    let earlier_drain = vec![started(0, EndpointState::Draining, 50)];
    let changes = apply(
        &mut coordinator,
        list(5, EndpointListKind::Delta, earlier_drain),
    );
    assert_eq!(changes, [], "the drain was that of the earlier incarnation");

    let drain = vec![started(1, EndpointState::Draining, 50)];
    let changes = apply(&mut coordinator, list(5, EndpointListKind::Delta, drain));
    assert_eq!(changes, [not_ready(1)], "a drain in an old list is applied");
    let current = fleet_with(started(0, EndpointState::Draining, 90));
    let changes = apply(&mut coordinator, list(8, EndpointListKind::Full, current));
    let expected = [not_ready(0), ready(1)];
    assert_eq!(changes, expected, "the newest list is applied as it is");
}

/// Guards against connections to an earlier incarnation that stay in use, and against closing those
/// to the present one: the listed start of an incarnation varies within a tolerance, and each list
/// repeats it.
#[test]
fn connections_end_once_for_each_listed_restart() {
    let mut coordinator = coordinator();
    let mut commands = Vec::new();
    let mut ended_at = |start_ms: Option<u64>| {
        let started_at = start_ms.map(|ms| START + Micros::from_millis(ms));
        let restarted = ServerEndpoint {
            started_at,
            ..server(0, EndpointState::Ready)
        };
        let list = endpoint_list(EndpointListKind::Delta, None, vec![restarted]);
        coordinator.turn(START, [list], &mut commands);
        let ended = commands.drain(..).find_map(|command| match command {
            Command::EndEarlierConnections { opened_before, .. } => Some(opened_before),
            _ => None,
        });
        ended.map(|opened_before| opened_before.since(START).0 / 1_000)
    };
    assert_eq!(ended_at(None), None, "the first list ends no connection");
    assert_eq!(ended_at(Some(5_000)), Some(4_500));
    assert_eq!(ended_at(Some(5_000)), None);
    assert_eq!(
        ended_at(Some(5_400)),
        None,
        "the same start, as another clock measures it, ends no connection"
    );
    assert_eq!(
        ended_at(None),
        None,
        "an entry without a start ends no connection"
    );
    assert_eq!(ended_at(Some(9_000)), Some(8_500));
}
