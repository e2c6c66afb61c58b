//! The records of a batch: the events of instances, and the creation and destruction of instances.

use crate::error::AdapterError;
use crate::fields::Fields;
use crate::frame::Batch;
use crate::ids::{InstanceId, PoolId};
use quinceflow::{
    AttemptNo, CellId, ClassId, Endpoint, EndpointListKind, EndpointState, Event, GroupId, Outcome,
    PartId, QueryId, ShardId, TenantId, ZoneId,
};

/// The codes that denote the kinds of records.
mod code {
    pub const NEW_INSTANCE: u8 = 1;
    /// An endpoint list.
    pub const MEMBERSHIP: u8 = 2;
    /// A query, or a part of a query.
    pub const REQUEST: u8 = 3;
    /// The start of an answer that is streamed. The policy uses no streaming.
    pub const ACCEPTED: u8 = 4;
    /// The outcome of an attempt.
    pub const VERDICT: u8 = 5;
    /// A query that was abandoned.
    pub const LAPSED: u8 = 6;
    /// The timer of the instance has fired.
    pub const REMINDER: u8 = 7;
    /// The result of a health check. The policy uses no health checks.
    pub const PROBED: u8 = 8;
    /// A message from another coordinator. The policy uses no such messages.
    pub const PEER_MESSAGE: u8 = 9;
    pub const DESTROY: u8 = 10;
    pub const POOL: u8 = 11;
    /// The selection of an instance.
    pub const ON: u8 = 12;
}

/// The flag of a query whose expected work is given.
const FLAG_EXPECTED_WORK: u8 = 1;

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Selects the instance to which the following records belong.
    SelectInstance(InstanceId),
    /// Defines the endpoints of a pool, to which later endpoint lists refer.
    DefinePool {
        pool: PoolId,
        endpoints: Vec<Endpoint>,
    },
    /// Creates the instance. The settings are JSON.
    CreateInstance { seed: u64, settings: String },
    /// Sends the instance the endpoints of a pool as an endpoint list.
    EndpointList {
        kind: EndpointListKind,
        pool: PoolId,
    },
    /// Destroys the instance.
    DestroyInstance,
    /// Sends the instance an event.
    Event(Event),
    /// A record that the policy does not use.
    Unused,
}

impl Record {
    /// Reads all records of a batch.
    pub fn read_all(batch: &Batch) -> Result<Vec<Record>, AdapterError> {
        let mut body = Fields::new(&batch.body, "batch");
        let mut records = Vec::new();
        for number in 0..batch.record_count {
            let record = Record::read(&mut body).map_err(|error| AdapterError::Record {
                batch: batch.number,
                record: number,
                source: Box::new(error),
            })?;
            records.push(record);
        }
        if !body.is_empty() {
            return Err(AdapterError::TrailingBytes {
                batch: batch.number,
                records: batch.record_count,
            });
        }
        Ok(records)
    }

    /// Reads one record.
    fn read(body: &mut Fields<'_>) -> Result<Record, AdapterError> {
        let code = body.u8()?;
        let length = body.u32()?;
        let bytes = body.bytes(length as usize)?;
        let fields = |context| Fields::new(bytes, context);
        match code {
            code::NEW_INSTANCE => read_new_instance(&mut fields("NEW_INSTANCE")),
            code::MEMBERSHIP => read_endpoint_list(&mut fields("MEMBERSHIP")),
            code::REQUEST => read_query_or_part(&mut fields("ASK")).map(Record::Event),
            code::VERDICT => read_outcome(&mut fields("VERDICT")).map(Record::Event),
            code::LAPSED => Ok(Record::Event(Event::Abandoned(QueryId(
                fields("LAPSED").u64()?,
            )))),
            code::REMINDER => {
                fields("REMINDER").u64()?;
                Ok(Record::Event(Event::TimerFired))
            }
            code::PROBED => read_health_check(&mut fields("PROBED")),
            code::ACCEPTED | code::PEER_MESSAGE => Ok(Record::Unused),
            code::DESTROY => Ok(Record::DestroyInstance),
            code::POOL => read_pool(&mut fields("POOL")),
            code::ON => Ok(Record::SelectInstance(InstanceId(fields("ON").u16()?))),
            _ => Err(AdapterError::UnknownRecord(code)),
        }
    }
}

fn read_new_instance(fields: &mut Fields<'_>) -> Result<Record, AdapterError> {
    let seed = fields.u64()?;
    let length = fields.u32()?;
    let text = fields.bytes(length as usize)?.to_vec();
    let settings = String::from_utf8(text).map_err(AdapterError::SettingsEncoding)?;
    Ok(Record::CreateInstance { seed, settings })
}

fn read_endpoint_list(fields: &mut Fields<'_>) -> Result<Record, AdapterError> {
    let kind = fields.u8()?;
    let _version = fields.u32()?;
    let pool = PoolId(fields.u16()?);
    let kind = match kind {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Full,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::Failed,
        _ => return Err(AdapterError::UnknownListKind(kind)),
    };
    Ok(Record::EndpointList { kind, pool })
}

fn read_query_or_part(fields: &mut Fields<'_>) -> Result<Event, AdapterError> {
    let id = fields.u64()?;
    let group = GroupId(fields.integer()?.unwrap_or(0));
    let expected_work = fields.u64()?;
    let _key = fields.u64()?;
    let flags = fields.u8()?;
    let tenant = TenantId(fields.u32()?);
    let shard = fields.integer()?;
    let weight = f64::from(fields.f32()?);
    let class = ClassId(u16::from(fields.u8()?));
    let time_left = fields.u64()?;
    Ok(match shard {
        Some(shard) => Event::Part {
            part: PartId(id),
            group,
            shard: ShardId(shard),
            weight,
        },
        None => Event::Query {
            query: QueryId(id),
            group,
            class,
            tenant,
            expected_work: (flags & FLAG_EXPECTED_WORK != 0).then_some(expected_work),
            time_left,
        },
    })
}

fn read_outcome(fields: &mut Fields<'_>) -> Result<Event, AdapterError> {
    let part = PartId(fields.u64()?);
    let attempt = AttemptNo(fields.u16()?);
    let _replica = fields.replica()?;
    let outcome = parse_outcome(fields.u8()?)?;
    let elapsed = fields.u64()?;
    let _flags = fields.u8()?;
    fields.skip_load_report()?;
    Ok(Event::Outcome {
        part,
        attempt,
        outcome,
        elapsed,
    })
}

fn read_health_check(fields: &mut Fields<'_>) -> Result<Record, AdapterError> {
    let _replica = fields.replica()?;
    let _outcome = parse_outcome(fields.u8()?)?;
    let _elapsed = fields.u64()?;
    fields.skip_load_report()?;
    Ok(Record::Unused)
}

fn read_pool(fields: &mut Fields<'_>) -> Result<Record, AdapterError> {
    let pool = PoolId(fields.u16()?);
    let count = fields.u32()?;
    let endpoints = (0..count)
        .map(|_| read_endpoint(fields))
        .collect::<Result<_, _>>()?;
    Ok(Record::DefinePool { pool, endpoints })
}

fn read_endpoint(fields: &mut Fields<'_>) -> Result<Endpoint, AdapterError> {
    let replica = fields.replica()?;
    let zone = ZoneId(fields.u16()?);
    let _kind = fields.u16()?;
    let cell = CellId(fields.u16()?);
    let state = match fields.u8()? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(AdapterError::UnknownState(other)),
    };
    let _weight = fields.f32()?;
    Ok(Endpoint {
        replica,
        zone,
        cell,
        state,
        started_at: fields.u64()?,
    })
}

fn parse_outcome(code: u8) -> Result<Outcome, AdapterError> {
    Ok(match code {
        0 => Outcome::Ok,
        1 => Outcome::Cancelled,
        4 => Outcome::TimedOut,
        8 => Outcome::Rejected,
        9 => Outcome::NotSent,
        10 => Outcome::Reset,
        13 => Outcome::Error,
        14 => Outcome::ConnectFailed,
        _ => return Err(AdapterError::UnknownOutcome(code)),
    })
}
