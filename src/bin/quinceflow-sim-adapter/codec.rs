//! Frames and records: bytes to what they say, and actions to bytes.

use quinceflow::*;
use std::fmt;
use std::io::{ErrorKind, Read};

/// What is wrong with the input, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One batch, its records still as bytes.
#[derive(Debug)]
pub struct Batch {
    pub records: u32,
    pub now: Nanos,
    pub number: u32,
    pub body: Vec<u8>,
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    On(u16),
    Pool {
        sheet: u16,
        members: Vec<Endpoint>,
    },
    New {
        seed: u64,
        boot_info: String,
    },
    Members {
        kind: EndpointListKind,
        sheet: u16,
    },
    Destroy,
    Event(Event),
    /// A record that the module has no use for.
    Other,
}

/// A reader over the fields of one record or frame.
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    what: &'static str,
}

macro_rules! little_endian {
    ($($name:ident: $t:ty),*) => {$(
        pub fn $name(&mut self) -> Result<$t, Malformed> {
            self.array().map(<$t>::from_le_bytes)
        }
    )*};
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], what: &'static str) -> Self {
        Self { bytes, at: 0, what }
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(Malformed(format!(
                "{}: {n} bytes wanted at {}, {} there",
                self.what,
                self.at,
                self.bytes.len() - self.at
            )));
        };
        let got = &self.bytes[self.at..end];
        self.at = end;
        Ok(got)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    little_endian!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32);

    fn replica(&mut self) -> Result<ReplicaId, Malformed> {
        self.array().map(ReplicaId)
    }

    fn load(&mut self) -> Result<Vec<f64>, Malformed> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32().map(f64::from)).collect()
    }

    /// A whole number that travels as a float; `None` below 0.
    fn whole(&mut self) -> Result<Option<u32>, Malformed> {
        let value = self.f32()?;
        if !value.is_finite() || value > u32::MAX as f32 {
            return Err(Malformed(format!("{}: {value} at {} is no number", self.what, self.at - 4)));
        }
        Ok((value >= 0.0).then_some(value as u32))
    }

    fn end(&self) -> bool {
        self.at == self.bytes.len()
    }
}

/// Reads one batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, Malformed> {
    let mut head = [0; 8];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(Malformed(format!("frame header: input ends after {got} bytes"))),
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(Malformed(format!("frame header: {e}"))),
        }
    }
    let mut head = Fields::new(&head, "frame header");
    let (records, length) = (head.u32()?, head.u32()?);
    if length < 12 {
        return Err(Malformed(format!("frame header: length {length} is under 12")));
    }
    let mut rest = Vec::new();
    input.take(u64::from(length)).read_to_end(&mut rest).map_err(|e| Malformed(format!("frame: {e}")))?;
    if rest.len() < length as usize {
        return Err(Malformed(format!("frame: {length} bytes announced, input ends after {}", rest.len())));
    }
    let mut fields = Fields::new(&rest, "frame header");
    let (now, number) = (fields.u64()?, fields.u32()?);
    Ok(Some(Batch { records, now, number, body: rest.split_off(12) }))
}

/// Reads all records of a batch.
pub fn read_records(batch: &Batch) -> Result<Vec<Record>, Malformed> {
    let mut frame = Fields::new(&batch.body, "batch");
    let mut records = Vec::new();
    for n in 0..batch.records {
        let at = |e: Malformed| Malformed(format!("batch {}, record {n}: {e}", batch.number));
        let (code, length) = (frame.u8().map_err(at)?, frame.u32().map_err(at)?);
        let bytes = frame.bytes(length as usize).map_err(at)?;
        records.push(read_record(code, bytes).map_err(at)?);
    }
    if !frame.end() {
        return Err(Malformed(format!("batch {}: bytes left after {} records", batch.number, batch.records)));
    }
    Ok(records)
}

fn read_record(code: u8, bytes: &[u8]) -> Result<Record, Malformed> {
    let fields = |what| Fields::new(bytes, what);
    Ok(match code {
        1 => {
            let mut f = fields("NEW_INSTANCE");
            let (seed, n) = (f.u64()?, f.u32()?);
            let text = f.bytes(n as usize)?.to_vec();
            let boot_info = String::from_utf8(text)
                .map_err(|e| Malformed(format!("NEW_INSTANCE: boot-info: {}", e.utf8_error())))?;
            Record::New { seed, boot_info }
        }
        2 => {
            let mut f = fields("MEMBERSHIP");
            let how = f.u8()?;
            let (_version, sheet) = (f.u32()?, f.u16()?);
            let kind = match how {
                0 => EndpointListKind::Delta,
                1 => EndpointListKind::Full,
                2 => EndpointListKind::Cached,
                3 => EndpointListKind::Failed,
                _ => return Err(Malformed(format!("MEMBERSHIP: unknown kind {how}"))),
            };
            Record::Members { kind, sheet }
        }
        3 => Record::Event(read_ask(&mut fields("ASK"))?),
        5 => {
            let mut f = fields("VERDICT");
            let (part, attempt) = (PartId(f.u64()?), AttemptNo(f.u16()?));
            f.replica()?;
            let outcome = outcome(f.u8()?)?;
            let elapsed = f.u64()?;
            f.u8()?;
            f.load()?;
            Record::Event(Event::Outcome { part, attempt, outcome, elapsed })
        }
        6 => Record::Event(Event::Abandoned(QueryId(fields("LAPSED").u64()?))),
        7 => {
            fields("REMINDER").u64()?;
            Record::Event(Event::TimerFired)
        }
        8 => {
            let mut f = fields("PROBED");
            f.replica()?;
            outcome(f.u8()?)?;
            f.u64()?;
            f.load()?;
            Record::Other
        }
        // No class streams, no coordinator speaks to another, and none probes here.
        4 | 9 => Record::Other,
        10 => Record::Destroy,
        11 => {
            let mut f = fields("POOL");
            let (sheet, n) = (f.u16()?, f.u32()?);
            let members = (0..n).map(|_| read_member(&mut f)).collect::<Result<_, _>>()?;
            Record::Pool { sheet, members }
        }
        12 => Record::On(fields("ON").u16()?),
        _ => return Err(Malformed(format!("unknown event code {code}"))),
    })
}

fn read_ask(f: &mut Fields<'_>) -> Result<Event, Malformed> {
    let id = f.u64()?;
    let group = GroupId(f.whole()?.unwrap_or(0));
    let (hint, _key, marks, tenant) = (f.u64()?, f.u64()?, f.u8()?, TenantId(f.u32()?));
    let shard = f.whole()?;
    let weight = f64::from(f.f32()?);
    let (class, time_left) = (ClassId(u16::from(f.u8()?)), f.u64()?);
    Ok(match shard {
        Some(shard) => Event::Part { part: PartId(id), group, shard: ShardId(shard), weight },
        None => Event::Query {
            query: QueryId(id),
            group,
            class,
            tenant,
            expected_work: (marks & 1 != 0).then_some(hint),
            time_left,
        },
    })
}

fn read_member(f: &mut Fields<'_>) -> Result<Endpoint, Malformed> {
    let (replica, zone, _kind, cell) = (f.replica()?, ZoneId(f.u16()?), f.u16()?, CellId(f.u16()?));
    let state = match f.u8()? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(Malformed(format!("POOL: unknown state {other}"))),
    };
    f.f32()?;
    Ok(Endpoint { replica, zone, cell, state, started_at: f.u64()? })
}

fn outcome(code: u8) -> Result<Outcome, Malformed> {
    Ok(match code {
        0 => Outcome::Ok,
        1 => Outcome::Cancelled,
        4 => Outcome::TimedOut,
        8 => Outcome::Rejected,
        9 => Outcome::NotSent,
        10 => Outcome::Reset,
        13 => Outcome::Error,
        14 => Outcome::ConnectFailed,
        _ => return Err(Malformed(format!("VERDICT: unknown outcome {code}"))),
    })
}

/// A reply in the making.
pub struct Reply(Vec<u8>);

impl Reply {
    pub fn new(number: u32) -> Self {
        let mut bytes = vec![0; 4];
        bytes.extend(number.to_le_bytes());
        Self(bytes)
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let length: usize = fields.iter().map(|f| f.len()).sum();
        self.0.push(code);
        self.0.extend((length as u32).to_le_bytes());
        fields.iter().for_each(|f| self.0.extend_from_slice(f));
    }

    /// The actions that follow are this instance's.
    pub fn from(&mut self, instance: u16) {
        self.record(78, &[&instance.to_le_bytes()]);
    }

    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Send { part, replica, timeout, .. } => {
                self.record(65, &[&part.0.to_le_bytes(), &replica.0, &timeout.to_le_bytes()]);
            }
            Action::Cancel { part, attempt } => {
                self.record(68, &[&part.0.to_le_bytes(), &attempt.0.to_le_bytes()]);
            }
            Action::Answer { query, complete: whole } => {
                self.record(77, &[&query.0.to_le_bytes(), &[u8::from(*whole)]])
            }
            Action::Reject { query, retry_after: come_back } => {
                self.record(66, &[&query.0.to_le_bytes(), &come_back.unwrap_or(0).to_le_bytes()]);
            }
            Action::Fail(query) => self.record(67, &[&query.0.to_le_bytes()]),
            Action::SetTimer(at) => self.record(69, &[&at.to_le_bytes(), &0u64.to_le_bytes()]),
            Action::CloseIdle(replica) => self.record(71, &[&replica.0]),
            Action::Subscribe => self.record(75, &[&[1]]),
        }
    }

    pub fn finish(mut self) -> Vec<u8> {
        let length = (self.0.len() - 4) as u32;
        self.0[..4].copy_from_slice(&length.to_le_bytes());
        self.0
    }
}
