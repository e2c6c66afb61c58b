//! The instances in this process, and which events are whose.

use crate::codec::{read_records, Batch, Malformed, Record, Reply};

use quinceflow::{settings, *};
use std::collections::BTreeMap;

/// All instances of this process; they share nothing but the wire.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, DecisionPolicy>,
    pools: BTreeMap<u16, Vec<Endpoint>>,
}

impl Host {
    /// Hands a batch to the instances it is for and gathers their reply.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, Malformed> {
        let mut inboxes: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
        let mut current = None;
        for record in read_records(batch)? {
            let here = || {
                current.ok_or_else(|| {
                    Malformed(format!("batch {}: an event comes before any ON record", batch.number))
                })
            };
            match record {
                Record::On(instance) => current = Some(instance),
                Record::Pool { sheet, members } => {
                    self.pools.insert(sheet, members);
                }
                Record::New { seed, boot_info } => {
                    let set = settings::parse_policy_settings(&boot_info)
                        .map_err(|e| Malformed(format!("batch {}: boot-info: {e}", batch.number)))?;
                    self.instances.insert(here()?, DecisionPolicy::new(set, seed, batch.now));
                    inboxes.insert(here()?, Vec::new());
                }
                Record::Destroy => {
                    self.instances.remove(&here()?);
                    inboxes.remove(&here()?);
                }
                Record::Members { kind, sheet } => {
                    let members = match kind {
                        EndpointListKind::Failed => Vec::new(),
                        _ => self.pools.get(&sheet).cloned().ok_or_else(|| {
                            Malformed(format!("batch {}: MEMBERSHIP names no POOL {sheet}", batch.number))
                        })?,
                    };
                    inboxes.entry(here()?).or_default().push(Event::Endpoints { kind, endpoints: members });
                }
                Record::Event(event) => inboxes.entry(here()?).or_default().push(event),
                Record::Other => {
                    here()?;
                }
            }
        }
        let mut reply = Reply::new(batch.number);
        let mut actions = Vec::new();
        for (instance, events) in inboxes {
            let Some(aggregator) = self.instances.get_mut(&instance) else {
                return Err(Malformed(format!("batch {}: no instance {instance} was started", batch.number)));
            };
            actions.clear();
            aggregator.handle(batch.now, &events, &mut actions);
            if !actions.is_empty() {
                reply.from(instance);
                actions.iter().for_each(|a| reply.action(a));
            }
        }
        Ok(reply.finish())
    }
}
