//! The data nodes' frames: one connection that carries many parts at a time.
//!
//! A frame is a length of four bytes, most significant first, a letter, and the rest; the length counts both.

use super::buffer::Buffer;
use crate::core::{AttemptKey, End, Job, Tally};
use crate::interface::Outcome;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Most bytes of a frame from a data node: a value's bound and its line.
const MOST_FRAME: usize = 64 * 1024 + 1024;
/// Ids remembered of parts that are over here: late answers and second copies bear them.
const MOST_PAST: usize = 256;

/// What came of the bytes that were written or read.
#[derive(Debug, Clone, PartialEq)]
pub enum LinkEvent {
    /// The last byte of an attempt's frame is written.
    Written(AttemptKey),
    /// An attempt ended.
    Ended(AttemptKey, End),
}

/// What a data node sent cannot be used: the connection ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadFrame(pub String);

#[derive(Debug)]
struct Outgoing {
    bytes: Vec<u8>,
    written: usize,
    keys: Vec<AttemptKey>,
    /// Where its parts are counted once it is written: also those given up since it began to go out.
    tallies: Vec<Arc<Tally>>,
}

impl Outgoing {
    fn plain(bytes: Vec<u8>) -> Self {
        Outgoing { bytes, written: 0, keys: Vec::new(), tallies: Vec::new() }
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
    /// The ids of parts that went out here and are over, the oldest first.
    past: VecDeque<String>,
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
    pub fn call(&mut self, jobs: &[Job]) {
        let mut rest = Vec::new();
        let mut keys = Vec::new();
        for job in jobs {
            let id = format!("{}.{}", job.label, job.shard.0);
            // The node's wait ends with this program's, rounded up: it must not give up first.
            let wait = job.patience.0.div_ceil(1_000);
            rest.extend_from_slice(format!("{id} {} d={wait} {}\n", job.shard.0, job.text.len()).as_bytes());
            rest.extend_from_slice(&job.text);
            keys.push(job.key);
            self.ids.insert(job.key, id.clone());
            if let Some((old, _)) = self.out.insert(id, (job.key, false)) {
                self.ids.remove(&old);
            }
        }
        let tallies = jobs.iter().map(|j| j.tally.clone()).collect();
        self.output.push_back(Outgoing { keys, tallies, ..Outgoing::plain(frame(b'q', &rest)) });
    }

    /// Gives an attempt up. One whose frame has not begun to go out never goes.
    pub fn call_off(&mut self, key: AttemptKey) {
        let Some(id) = self.ids.remove(&key) else { return };
        self.out.remove(&id);
        let waiting = self.output.iter().position(|f| f.written == 0 && f.keys == [key]);
        match waiting {
            Some(at) => {
                self.output.remove(at);
            }
            None => {
                self.output.push_back(Outgoing::plain(frame(b'c', id.as_bytes())));
                remember(&mut self.past, id);
            }
        }
    }

    /// Takes back every frame that has not begun to go out: after a drain nothing new may.
    pub fn take_back(&mut self, events: &mut Vec<LinkEvent>) {
        let (back, kept) =
            self.output.drain(..).partition::<Vec<_>, _>(|f| f.written == 0 && !f.keys.is_empty());
        self.output = kept.into();
        for key in back.into_iter().flat_map(|f| f.keys) {
            if let Some(id) = self.ids.remove(&key) {
                self.out.remove(&id);
                events.push(LinkEvent::Ended(key, End::Not(Outcome::Moot)));
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
        front.written += n;
        if front.written < front.bytes.len() {
            return;
        }
        let Some(whole) = self.output.pop_front() else { return };
        whole.tallies.iter().for_each(|t| t.tries.add());
        for key in whole.keys {
            if let Some(entry) = self.ids.get(&key).and_then(|id| self.out.get_mut(id)) {
                entry.1 = true;
                events.push(LinkEvent::Written(key));
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
            if length == 0 || length > MOST_FRAME {
                return Err(BadFrame(format!("a frame of {length} bytes")));
            }
            let Some(body) = data.get(4..4 + length) else { return Ok(whole) };
            let (letter, rest) = (body[0], &body[1..]);
            match letter {
                b'a' => {
                    let (id, end) = answer(rest)?;
                    if let Some((key, _)) = self.out.remove(id) {
                        self.ids.remove(&key);
                        remember(&mut self.past, id.to_owned());
                        events.push(LinkEvent::Ended(key, end));
                    } else if !self.past.iter().any(|p| p == id) {
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
            self.input.used(4 + length);
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
        self.output.retain(|f| f.keys.iter().any(|k| self.ids.contains_key(k)));
        self.output.iter_mut().for_each(|f| f.written = 0);
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
            events.push(LinkEvent::Ended(key, End::Not(outcome)));
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

fn remember(past: &mut VecDeque<String>, id: String) {
    past.push_back(id);
    if past.len() > MOST_PAST {
        past.pop_front();
    }
}

/// An answer's id and end. Nothing but a value that came as it was made may reach a client, so whatever is not as it
/// should be spoils the answer; only the report may be anything, since nothing hangs on it.
fn answer(rest: &[u8]) -> Result<(&str, End), BadFrame> {
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
                End::Served(value.into())
            } else {
                // Two frames run together by a wrong length hold the second one's head.
                return Err(bad("a score or a value that cannot be read"));
            }
        }
        "broke" => End::Not(Outcome::Error),
        "skipped" => End::Not(Outcome::Full),
        other => return Err(bad(&format!("the unknown end {other:?}"))),
    };
    Ok((id, end))
}
