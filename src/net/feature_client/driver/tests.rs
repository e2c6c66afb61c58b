//! Tests of the start of drivers.

use super::*;
use crate::coordinator::AttemptKey;
use crate::front::ogc::page_request::{PageRequest, RequestKind};
use crate::interface::{AttemptNo, PartId, ReplicaId};
use crate::limits::LimitRule;
use crate::net::feature_client::request::Cancellation;
use crate::proto::fetch::Fetch;
use may::sync::mpsc::channel;
use std::io::ErrorKind;

fn request(attempt: u16) -> FetchRequest {
    let page = PageRequest::new(RequestKind::Items, "/".to_owned());
    FetchRequest {
        key: AttemptKey {
            part: PartId(0),
            attempt: AttemptNo(attempt),
        },
        replica: ReplicaId([0; 6]),
        address: ([127, 0, 0, 1], 9).into(),
        fetch: Fetch::new(Vec::new(), 0),
        page_request: Arc::new(page),
        cancellation: Arc::<Cancellation>::default(),
        metrics: Arc::default(),
    }
}

/// Guards against queued attempts that wait although no attempt is in flight.
#[test]
fn queued_attempts_are_reported_as_not_sent_when_no_driver_can_start() {
    let rule = LimitRule::Fixed(1);
    let mut server = FeatureServer::new(rule);
    server.ready = true;
    let first = server
        .admit(request(0), Micros::ZERO)
        .expect("the slot is free");
    for attempt in 1..4 {
        assert!(
            server.admit(request(attempt), Micros::ZERO).is_none(),
            "attempt {attempt} is queued"
        );
    }
    let server = Arc::new(Mutex::new(server));
    let (inbox, inputs) = channel();
    let context = DriverContext {
        inbox,
        clock: Clock::start(),
        connect_timeout: Micros::ZERO,
        idle_timeout: Micros::ZERO,
        capacity: Arc::default(),
    };
    let driver = FetchDriver {
        request: first,
        server: server.clone(),
        context,
    };
    driver.start_with(|_| Err(ErrorKind::OutOfMemory.into()));
    let ended = std::iter::from_fn(|| inputs.try_recv().ok());
    let attempts: Vec<u16> = ended
        .map(|input| match input {
            Input::AttemptEnded {
                key,
                end: AttemptEnd::Failed(Outcome::NotSent),
            } => key.attempt.0,
            other => panic!("unexpected input: {other:?}"),
        })
        .collect();
    assert_eq!(attempts, [0, 1, 2, 3]);
    assert_eq!(lock(&server).in_flight, 0);
}
