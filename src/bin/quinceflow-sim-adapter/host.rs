//! The instances of the policy in this process, and the distribution of events to them.

use crate::error::AdapterError;
use crate::frame::Batch;
use crate::ids::{InstanceId, PoolId};
use crate::record::Record;
use crate::reply::Reply;
use quinceflow::{settings, DecisionPolicy, Endpoint, EndpointListKind, Event, Settings};
use std::collections::BTreeMap;

/// The events of one batch by instance, in order.
type Inboxes = BTreeMap<InstanceId, Vec<Event>>;

/// All instances of this process; they share no state.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<InstanceId, DecisionPolicy>,
    pools: BTreeMap<PoolId, Vec<Endpoint>>,
}

impl Host {
    /// Passes a batch to its instances and returns their reply.
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, AdapterError> {
        let mut inboxes = Inboxes::new();
        let mut current = None;
        for record in Record::read_all(batch)? {
            match record {
                Record::On(instance) => current = Some(instance),
                Record::Pool { pool, endpoints } => {
                    self.pools.insert(pool, endpoints);
                }
                record => self.apply(record, current, batch, &mut inboxes)?,
            }
        }
        self.reply(batch, inboxes)
    }

    /// Applies a record that is for the current instance.
    fn apply(
        &mut self,
        record: Record,
        current: Option<InstanceId>,
        batch: &Batch,
        inboxes: &mut Inboxes,
    ) -> Result<(), AdapterError> {
        let instance = || {
            current.ok_or(AdapterError::NoCurrentInstance {
                batch: batch.number,
            })
        };
        match record {
            Record::New { seed, settings } => {
                let settings = parse_settings(&settings, batch)?;
                let policy = DecisionPolicy::new(settings, seed, batch.now);
                self.instances.insert(instance()?, policy);
                inboxes.insert(instance()?, Vec::new());
            }
            Record::Destroy => {
                self.instances.remove(&instance()?);
                inboxes.remove(&instance()?);
            }
            Record::EndpointList { kind, pool } => {
                let endpoints = self.endpoints(kind, pool, batch)?;
                inboxes
                    .entry(instance()?)
                    .or_default()
                    .push(Event::Endpoints { kind, endpoints });
            }
            Record::Event(event) => inboxes.entry(instance()?).or_default().push(event),
            Record::On(_) | Record::Pool { .. } | Record::Other => {
                instance()?;
            }
        }
        Ok(())
    }

    /// Returns the endpoints of a list; none for a failed one.
    fn endpoints(
        &self,
        kind: EndpointListKind,
        pool: PoolId,
        batch: &Batch,
    ) -> Result<Vec<Endpoint>, AdapterError> {
        if kind == EndpointListKind::Failed {
            return Ok(Vec::new());
        }
        self.pools
            .get(&pool)
            .cloned()
            .ok_or(AdapterError::UnknownPool {
                batch: batch.number,
                pool,
            })
    }

    /// Lets each instance handle its events, and returns the reply.
    fn reply(&mut self, batch: &Batch, inboxes: Inboxes) -> Result<Vec<u8>, AdapterError> {
        let mut reply = Reply::new(batch.number);
        let mut actions = Vec::new();
        for (instance, events) in inboxes {
            let Some(policy) = self.instances.get_mut(&instance) else {
                return Err(AdapterError::UnknownInstance {
                    batch: batch.number,
                    instance,
                });
            };
            actions.clear();
            policy.handle(batch.now, &events, &mut actions);
            if !actions.is_empty() {
                reply.select_instance(instance);
                actions.iter().for_each(|action| reply.push_action(action));
            }
        }
        Ok(reply.finish())
    }
}

/// Parses the settings of an instance that starts in this batch.
fn parse_settings(text: &str, batch: &Batch) -> Result<Settings, AdapterError> {
    settings::parse_policy_settings(text).map_err(|error| AdapterError::Settings {
        batch: batch.number,
        source: error.into(),
    })
}
