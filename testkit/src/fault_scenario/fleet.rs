//! Servers of a fault scenario: six machines with two servers each, which together have three
//! shards.

use crate::feature_server::{
    devices, Capabilities, Fault, FeatureServer, InventoryEntry, InventoryState, ALL_FAULTS,
};
use std::io;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

const MACHINES: usize = 6;
const SERVERS_PER_MACHINE: usize = 2;
/// Number of features of each shard; more than a server returns in one page.
pub(super) const FEATURES_PER_SHARD: usize = 900;
/// Number of device numbers reserved for each shard.
const DEVICE_NUMBERS_PER_SHARD: usize = 10_000;
/// Names of the shards.
pub(super) const SHARDS: [&str; 3] = ["east", "north", "south"];
/// Capabilities that the servers of a machine have in turn.
const CAPABILITIES: [Capabilities; 3] = [
    Capabilities::FiltersAndSorting,
    Capabilities::SimpleFilters,
    Capabilities::Core,
];

/// Machine whose fault affects both of its servers.
#[derive(Clone, Default)]
pub(super) struct Machine {
    /// Active fault: 0 for none, otherwise its index in [`ALL_FAULTS`] plus one.
    fault: Arc<AtomicUsize>,
}

impl Machine {
    /// Sets the fault by its index in [`ALL_FAULTS`], or removes it.
    pub(super) fn set_fault(&self, index: Option<usize>) {
        self.fault
            .store(index.map_or(0, |index| index + 1), Relaxed);
    }

    /// Returns the fault of the request with this number: hangs and delays affect every request,
    /// other faults every second one.
    fn fault_of_request(&self, number: u64) -> Fault {
        let Some(index) = self.fault.load(Relaxed).checked_sub(1) else {
            return Fault::None;
        };
        let fault = ALL_FAULTS[index];
        if number.is_multiple_of(2) || matches!(fault, Fault::Hang | Fault::Slow) {
            fault
        } else {
            Fault::None
        }
    }
}

/// Machines and their servers, in the order of the machines.
pub(super) struct Fleet {
    pub(super) machines: [Machine; MACHINES],
    pub(super) servers: Vec<FeatureServer>,
}

impl Fleet {
    /// Starts all servers, without a fault.
    pub(super) fn start() -> io::Result<Fleet> {
        let machines: [Machine; MACHINES] = Default::default();
        let mut servers = Vec::new();
        for (machine_number, machine) in machines.iter().enumerate() {
            for server_in_machine in 0..SERVERS_PER_MACHINE {
                let shard =
                    shard_of_server(SERVERS_PER_MACHINE * machine_number + server_in_machine);
                let capabilities =
                    CAPABILITIES[(machine_number + server_in_machine) % CAPABILITIES.len()];
                let server = FeatureServer::start(devices(device_numbers(shard)), capabilities)?;
                let machine = machine.clone();
                server.set_fault_script(move |request| machine.fault_of_request(request.number));
                servers.push(server);
            }
        }
        Ok(Fleet { machines, servers })
    }

    /// Returns the rows of the inventory, in which the server with the index `draining`, if any, is
    /// draining and all others are in service.
    pub(super) fn inventory(&self, draining: Option<usize>) -> String {
        let row = |(index, server): (usize, &FeatureServer)| {
            let is_draining = draining == Some(index);
            let state = if is_draining {
                InventoryState::Draining
            } else {
                InventoryState::InService
            };
            let shard = SHARDS[shard_of_server(index)];
            let name = format!("s{index}");
            let collections = format!("devices/{shard}");
            server.inventory_row(InventoryEntry {
                name: &name,
                collections: &collections,
                state,
            })
        };
        self.servers.iter().enumerate().map(row).collect()
    }
}

/// Returns the shard of a server. Each shard has four replicas on four different machines.
fn shard_of_server(server: usize) -> usize {
    (server / 4 + server % 2) % SHARDS.len()
}

/// Returns the numbers of the devices that are the features of a shard.
fn device_numbers(shard: usize) -> Range<usize> {
    shard * DEVICE_NUMBERS_PER_SHARD..shard * DEVICE_NUMBERS_PER_SHARD + FEATURES_PER_SHARD
}

/// Returns the shard of a feature, or `None` if no server has the feature.
pub(super) fn shard_of_feature(id: &str) -> Option<usize> {
    let number: usize = id.strip_prefix('d')?.parse().ok()?;
    (0..SHARDS.len()).find(|shard| device_numbers(*shard).contains(&number))
}
