//! The instances of the policy in this process, and the distribution of events to them.

use crate::error::AdapterError;
use crate::frame::Batch;
use crate::ids::{InstanceId, PoolId};
use crate::record::Record;
use crate::reply::Reply;
use quinceflow::{settings, DecisionPolicy, Endpoint, EndpointListKind, Event, Settings};
use std::collections::BTreeMap;

/// The events of one batch, in order, for each instance.
type Inboxes = BTreeMap<InstanceId, Vec<Event>>;

/// All instances of the policy in this process. They share no state.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<InstanceId, DecisionPolicy>,
    pools: BTreeMap<PoolId, Vec<Endpoint>>,
}

impl Host {
    /// Passes the events of a batch to their instances, and returns the encoded reply.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, AdapterError> {
        let mut inboxes = Inboxes::new();
        let mut current = None;
        for record in Record::read_all(batch)? {
            match record {
                Record::SelectInstance(instance) => current = Some(instance),
                Record::DefinePool { pool, endpoints } => {
                    self.pools.insert(pool, endpoints);
                }
                record => self.apply(record, current, batch, &mut inboxes)?,
            }
        }
        self.handle_events(batch, inboxes)
    }

    /// Applies a record that is for the current instance. Fails if no instance is selected.
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
            Record::CreateInstance { seed, settings } => {
                let settings = parse_settings(&settings, batch)?;
                let policy = DecisionPolicy::new(settings, seed, batch.now);
                self.instances.insert(instance()?, policy);
                inboxes.insert(instance()?, Vec::new());
            }
            Record::DestroyInstance => {
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
            Record::SelectInstance(_) | Record::DefinePool { .. } | Record::Unused => {
                instance()?;
            }
        }
        Ok(())
    }

    /// Returns the endpoints of an endpoint list, which has none if the poll failed.
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

    /// Passes the events to their instances, and returns the encoded reply.
    fn handle_events(&mut self, batch: &Batch, inboxes: Inboxes) -> Result<Vec<u8>, AdapterError> {
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

/// Parses the settings of an instance that is created in this batch.
fn parse_settings(text: &str, batch: &Batch) -> Result<Settings, AdapterError> {
    settings::parse_policy_settings(text).map_err(|error| AdapterError::Settings {
        batch: batch.number,
        source: error.into(),
    })
}
