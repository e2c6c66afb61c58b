//! Tests of the reloads that signals request.

use super::*;
use crate::coordinator::EndpointUpdate;
use crate::interface::EndpointListKind;

/// A source that loads an empty inventory.
struct EmptyInventory;

impl Reload for EmptyInventory {
    fn reload(&mut self, _now: Micros) -> Result<Reloaded, ReloadError> {
        let update = EndpointUpdate {
            kind: EndpointListKind::Full,
            version: None,
            endpoints: Vec::new(),
        };
        Ok(Reloaded {
            change: ReloadedChange::Inventory { servers: 0 },
            input: Input::EndpointUpdate(update),
            settings: None,
        })
    }
}

/// Guards against a SIGHUP that is ignored because it arrives while the process starts.
#[test]
fn a_reload_that_was_requested_during_the_start_is_carried_out_once() {
    let mut reloads = RequestedReloads::new(Box::new(EmptyInventory));
    let requested_during_start = 1;
    let mut reload = || {
        reloads
            .reload_if_requested(requested_during_start, Micros::ZERO)
            .is_some()
    };
    assert!(reload());
    assert!(!reload());
}
