//! A stand-in data node: frames on connections that stay open, and a value of its own for each part.

use crate::record::{lock, Random, Record};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The number of bytes by which the length of a spoilt answer is too small.
const MISSING_BYTES: usize = 6;

/// A running data node.
#[derive(Clone)]
pub struct DataNode {
    /// Its port.
    pub port: u16,
    /// Its cell.
    pub cell: usize,
    record: Arc<Record>,
    state: Arc<Mutex<State>>,
    /// One in so many answers is spoilt; 0: none.
    spoilt_one_in: u64,
}

struct State {
    random: Random,
    /// The values that were made, by the id of the part.
    values: HashMap<String, Vec<String>>,
    spoilt: usize,
}

/// A connection; nothing is written to it once an answer on it was spoilt.
type Connection = Arc<Mutex<Option<TcpStream>>>;

impl DataNode {
    /// Starts a data node on a free port.
    pub fn start(
        cell: usize,
        spoilt_one_in: u64,
        seed: u64,
        record: &Arc<Record>,
    ) -> io::Result<DataNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let node = DataNode {
            port: listener.local_addr()?.port(),
            cell,
            record: record.clone(),
            state: Arc::new(Mutex::new(State {
                random: Random::new(seed),
                values: HashMap::new(),
                spoilt: 0,
            })),
            spoilt_one_in,
        };
        let accepting = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = accepting.clone();
                std::thread::spawn(move || node.serve(stream));
            }
        });
        Ok(node)
    }

    /// Returns the values that this data node has made for a part.
    pub fn values(&self, part: &str) -> Vec<String> {
        lock(&self.state)
            .values
            .get(part)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the number of spoilt answers so far.
    pub fn spoilt(&self) -> usize {
        lock(&self.state).spoilt
    }

    /// Returns the entry of the data node in discovery's list.
    pub fn entry(&self) -> String {
        format!(
            "{{\"uid\":\"s-{:08x}\",\"endpoint\":\"127.0.0.1:{}\",\"az\":\"a\",\"model\":\"m2\",\
             \"pod_group\":{},\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            self.cell, self.port, self.cell
        )
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let connection: Connection = Arc::new(Mutex::new(Some(stream.try_clone()?)));
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut frame)?;
            if frame.first() == Some(&b'q') {
                for part in parts(&frame[1..]) {
                    let node = self.clone();
                    let connection = connection.clone();
                    std::thread::spawn(move || node.run(&part, &connection));
                }
            }
        }
    }

    /// Runs a part and answers it.
    fn run(&self, part: &str, connection: &Connection) {
        let (value, work, spoilt) = {
            let mut state = lock(&self.state);
            let value = format!("{:016x}", state.random.next());
            let work = Duration::from_millis(state.random.between(110, 150));
            let drawn = state.random.next();
            let spoilt = self.spoilt_one_in > 0 && drawn.is_multiple_of(self.spoilt_one_in);
            state
                .values
                .entry(part.to_owned())
                .or_default()
                .push(value.clone());
            (value, work, spoilt)
        };
        std::thread::sleep(work);
        let mut connection = lock(connection);
        let Some(stream) = connection.as_mut() else {
            return;
        };
        let score = part.len() as u64 * 1_840_277;
        let answer = format!("a{part} served {score} inflight=1,util=0.20\n{value}");
        let missing = if spoilt { MISSING_BYTES } else { 0 };
        let mut frame = ((answer.len() - missing) as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(answer.as_bytes());
        if stream.write_all(&frame).is_err() {
            return;
        }
        let cell = self.cell;
        if spoilt {
            lock(&self.state).spoilt += 1;
            self.record.note(format!(
                "node {cell}: {part} value {value}, answer spoilt: its length is {MISSING_BYTES} too small"
            ));
            // The connection stays open but is of no more use.
            *connection = None;
        } else {
            self.record
                .note(format!("node {cell}: {part} value {value}"));
        }
    }
}

/// Returns the ids of the parts of a call.
fn parts(mut call: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some(end) = call.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&call[..end]).into_owned();
        let length = line.split(' ').nth(3).and_then(|word| word.parse().ok());
        let length: usize = length.unwrap_or(0);
        ids.extend(line.split(' ').next().map(str::to_owned));
        call = call.get(end + 1 + length..).unwrap_or_default();
    }
    ids
}
