//! The data nodes' frames: one connection that carries many parts at a time.
//!
//! A frame is a length of four bytes, most significant first, a letter, and the rest; the length counts both.

use super::buffer::Buffer;
use crate::coordinator::{AttemptEnd, AttemptKey, AttemptRequest, ClassMetrics};
use crate::interface::Outcome;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Most bytes of a frame from a data node: a value's bound and its line.
const MAX_FRAME: usize = 64 * 1024 + 1024;
/// Ids remembered of parts that are over here: late answers and second copies bear them.
const MAX_PAST: usize = 256;
/// A frame's length and letter.
const HEAD: usize = 5;

/// What came of the bytes that were written or read.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkEvent {
    /// Some of an attempt's frame is written: it can't be taken back any more.
    Begun(AttemptKey),
    /// The last byte of an attempt's frame is written.
    Written(AttemptKey),
    /// An attempt ended.
    Ended(AttemptKey, AttemptEnd),
}

/// What a data node sent cannot be used: the connection ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadFrame(pub String);

/// A part's stretch of a frame.
#[derive(Debug)]
struct Piece {
    key: AttemptKey,
    bytes: usize,
    /// Where it is counted once it is written: also when it was given up since its frame began to go out.
    tally: Arc<ClassMetrics>,
}

/// A frame that is to be written, with its parts in order.
#[derive(Debug)]
struct Outgoing {
    bytes: Vec<u8>,
    written: usize,
    parts: Vec<Piece>,
}

impl Outgoing {
    fn plain(bytes: Vec<u8>) -> Self {
        Outgoing { bytes, written: 0, parts: Vec::new() }
    }

    /// It carries this part and has not begun to go out.
    fn waits_with(&self, key: AttemptKey) -> bool {
        self.written == 0 && self.parts.iter().any(|p| p.key == key)
    }

    /// Only these parts are to go. Nothing of it has gone, or all of it is to go anew.
    fn keep(&mut self, stays: impl Fn(AttemptKey) -> bool) {
        self.written = 0;
        let mut at = HEAD;
        let bytes = &mut self.bytes;
        self.parts.retain(|part| {
            let stays = stays(part.key);
            if stays {
                at += part.bytes;
            } else {
                bytes.drain(at..at + part.bytes);
            }
            stays
        });
        let length = (bytes.len() as u32 - 4).to_be_bytes();
        bytes[..4].copy_from_slice(&length);
    }
}

/// One connection to a data node.
#[derive(Debug, Default)]
pub struct Link {
    input: Buffer,
    output: VecDeque<Outgoing>,
    /// The parts that are out here, by their ids, and whether their frames are written.
    out: HashMap<String, (AttemptKey, bool)>,
    ids: HashMap<AttemptKey, String>,
    /// The ids of parts that went out here and are over, the oldest first, and whether an answer came.
    past: VecDeque<(String, bool)>,
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(rest.len() + 5);
    bytes.extend((rest.len() as u32 + 1).to_be_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

impl Link {
    /// Queues one call of these parts.
    pub fn call(&mut self, jobs: &[AttemptRequest]) {
        let mut rest = Vec::new();
        let mut parts = Vec::new();
        for job in jobs {
            let (id, before) = (id(job), rest.len());
            // The node's wait ends with this program's, rounded up: it must not give up first.
            let wait = job.timeout.0.div_ceil(1_000);
            rest.extend_from_slice(
                format!("{id} {} d={wait} {}\n", job.shard.0, job.payload.len()).as_bytes(),
            );
            rest.extend_from_slice(&job.payload);
            parts.push(Piece { key: job.key, bytes: rest.len() - before, tally: job.metrics.clone() });
            self.ids.insert(job.key, id.clone());
            if let Some((old, _)) = self.out.insert(id, (job.key, false)) {
                self.ids.remove(&old);
            }
        }
        self.output.push_back(Outgoing { parts, ..Outgoing::plain(frame(b'q', &rest)) });
    }

    /// Gives an attempt up. One whose frame has not begun to go out never goes, whatever else is in that frame.
    pub fn call_off(&mut self, key: AttemptKey) {
        let Some(id) = self.ids.remove(&key) else { return };
        self.out.remove(&id);
        match self.output.iter().position(|f| f.waits_with(key)) {
            Some(at) => {
                self.output[at].keep(|k| k != key);
                if self.output[at].parts.is_empty() {
                    self.output.remove(at);
                }
            }
            None => {
                self.output.push_back(Outgoing::plain(frame(b'c', id.as_bytes())));
                remember(&mut self.past, id, false);
            }
        }
    }

    /// An earlier attempt at this part was given up here and may still be answered. The answer would be taken for that to
    /// the next attempt, which bears the same id: were it turned away or broken, the part would go out a third time while
    /// the second is out.
    pub fn owes(&self, job: &AttemptRequest) -> bool {
        job.key.attempt.0 > 0 && self.past.contains(&(id(job), false))
    }

    /// Takes back every frame that has not begun to go out: after a drain nothing new may.
    pub fn take_back(&mut self, events: &mut Vec<LinkEvent>) {
        let (back, kept) =
            self.output.drain(..).partition::<Vec<_>, _>(|f| f.written == 0 && !f.parts.is_empty());
        self.output = kept.into();
        for key in back.into_iter().flat_map(|f| f.parts).map(|p| p.key) {
            if let Some(id) = self.ids.remove(&key) {
                self.out.remove(&id);
                events.push(LinkEvent::Ended(key, AttemptEnd::Failed(Outcome::NotSent)));
            }
        }
    }

    /// Bytes to write.
    pub fn output(&self) -> &[u8] {
        self.output.front().map_or(&[], |f| &f.bytes[f.written..])
    }

    /// So many of them were written.
    pub fn wrote(&mut self, n: usize, events: &mut Vec<LinkEvent>) {
        let Some(front) = self.output.front_mut() else { return };
        let begins = front.written == 0 && n > 0;
        front.written += n;
        if front.written < front.bytes.len() {
            let here = front.parts.iter().map(|p| p.key).filter(|key| begins && self.ids.contains_key(key));
            return events.extend(here.map(LinkEvent::Begun));
        }
        let Some(whole) = self.output.pop_front() else { return };
        for part in whole.parts {
            part.tally.attempts.increment();
            if let Some(entry) = self.ids.get(&part.key).and_then(|id| self.out.get_mut(id)) {
                entry.1 = true;
                events.push(LinkEvent::Written(part.key));
            }
        }
    }

    /// Where reads go.
    pub fn input(&mut self) -> &mut Buffer {
        &mut self.input
    }

    /// Takes in what was read: how many frames came whole.
    pub fn read(&mut self, events: &mut Vec<LinkEvent>) -> Result<usize, BadFrame> {
        let mut whole = 0;
        loop {
            let data = self.input.data();
            let Some(head) = data.first_chunk::<4>() else { return Ok(whole) };
            let length = u32::from_be_bytes(*head) as usize;
            if length == 0 || length > MAX_FRAME {
                return Err(BadFrame(format!("a frame of {length} bytes")));
            }
            let Some(body) = data.get(4..4 + length) else { return Ok(whole) };
            let (letter, rest) = (body[0], &body[1..]);
            match letter {
                b'a' => {
                    let (id, end) = answer(rest)?;
                    if let Some((key, _)) = self.out.remove(id) {
                        self.ids.remove(&key);
                        remember(&mut self.past, id.to_owned(), true);
                        events.push(LinkEvent::Ended(key, end));
                    } else if let Some(past) = self.past.iter_mut().find(|p| p.0 == id) {
                        past.1 = true;
                    } else {
                        // A second copy, or the answer to what was given up, is of no use any more. One to what never
                        // went out here is some part's answer spoilt: that part would be waited for in vain.
                        return Err(BadFrame("an answer to what never went out".to_owned()));
                    }
                }
                // The answer to a probe; none is sent from here, and it harms nobody.
                b'l' | b'p' => {}
                b'e' => return Err(BadFrame(format!("refused: {}", String::from_utf8_lossy(rest)))),
                other => return Err(BadFrame(format!("unknown letter {:?}", char::from(other)))),
            }
            self.input.consume(4 + length);
            whole += 1;
        }
    }

    /// The begin of a frame is here and its end is not.
    pub fn partial(&self) -> bool {
        !self.input.data().is_empty()
    }

    /// The connection has ended: can what waits on it go out on a new one? Only if nothing that may have run is out;
    /// then every frame begins anew. A node closes idle connections, and a part must not pay for that.
    pub fn restart(&mut self) -> bool {
        if self.out.is_empty() || self.out.values().any(|o| o.1) {
            return false;
        }
        self.input = Buffer::default();
        self.past.clear();
        let ids = &self.ids;
        self.output.iter_mut().for_each(|f| f.keep(|key| ids.contains_key(&key)));
        self.output.retain(|f| !f.parts.is_empty());
        true
    }

    /// The connection has ended, or never came up: every attempt on it gets its outcome. Only a frame whose last
    /// byte was written can have run.
    pub fn broken(&mut self, events: &mut Vec<LinkEvent>) {
        self.output.clear();
        self.ids.clear();
        let mut out: Vec<_> = self.out.drain().map(|o| o.1).collect();
        out.sort_unstable();
        for (key, written) in out {
            let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
            events.push(LinkEvent::Ended(key, AttemptEnd::Failed(outcome)));
        }
    }

    /// Parts that are out here.
    pub fn load(&self) -> usize {
        self.out.len()
    }

    /// Nothing is out and nothing is to be written.
    pub fn idle(&self) -> bool {
        self.out.is_empty() && self.output.is_empty()
    }

    /// Is this attempt here?
    pub fn holds(&self, key: AttemptKey) -> bool {
        self.ids.contains_key(&key)
    }
}

/// What a part is called at its node.
fn id(job: &AttemptRequest) -> String {
    format!("{}.{}", job.request_id, job.shard.0)
}

fn remember(past: &mut VecDeque<(String, bool)>, id: String, answered: bool) {
    past.retain(|p| p.0 != id);
    past.push_back((id, answered));
    if past.len() > MAX_PAST {
        past.pop_front();
    }
}

/// An answer's id and end. Nothing but a value that came as it was made may reach a client, so whatever is not as it
/// should be spoils the answer; only the report may be anything, since nothing hangs on it.
fn answer(rest: &[u8]) -> Result<(&str, AttemptEnd), BadFrame> {
    let bad = |what: &str| BadFrame(format!("an answer with {what}"));
    let end = rest.iter().position(|b| *b == b'\n').ok_or_else(|| bad("no end of its line"))?;
    let mut words = rest[..end].splitn(4, |b| *b == b' ').map(std::str::from_utf8);
    let (Some(Ok(id)), Some(Ok(how)), Some(Ok(score)), Some(_)) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(bad("a line that cannot be read"));
    };
    let end = match how {
        "served" => {
            let value = &rest[end + 1..];
            if score.parse::<f64>().is_ok_and(f64::is_finite)
                && std::str::from_utf8(value).is_ok_and(|v| !v.contains(char::is_control))
            {
                AttemptEnd::Served(value.into())
            } else {
                // Two frames run together by a wrong length hold the second one's head.
                return Err(bad("a score or a value that cannot be read"));
            }
        }
        "broke" => AttemptEnd::Failed(Outcome::Error),
        "skipped" => AttemptEnd::Failed(Outcome::Rejected),
        other => return Err(bad(&format!("the unknown end {other:?}"))),
    };
    Ok((id, end))
}
