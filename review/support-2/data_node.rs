//! A stand-in for a data node: it reads frames, works on each part for a while, and answers.

use super::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A running stand-in.
#[derive(Clone)]
pub struct DataNode {
    pub uid: String,
    pub address: SocketAddr,
    arrived: Arc<Mutex<Vec<f64>>>,
    work: Duration,
    record: Record,
}

impl DataNode {
    /// Starts a node that works on each part for `work`.
    pub fn start(record: &Record, uid: &str, work: Duration) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let node = DataNode {
            uid: uid.to_owned(),
            address: listener.local_addr().map_err(|e| e.to_string())?,
            arrived: Arc::default(),
            work,
            record: record.clone(),
        };
        record.note(format!("{uid}: data node at {}", node.address));
        let accepting = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(node)
    }

    /// Returns when each part arrived so far: the time of the first byte of its frame.
    pub fn arrived(&self) -> Vec<f64> {
        self.arrived.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let writer = Arc::new(Mutex::new(writer));
        loop {
            let mut first = [0; 1];
            if stream.read_exact(&mut first).is_err() {
                return;
            }
            let at = self.record.seconds();
            let mut rest = [0; 3];
            if stream.read_exact(&mut rest).is_err() {
                return;
            }
            let length = u32::from_be_bytes([first[0], rest[0], rest[1], rest[2]]) as usize;
            let mut frame = vec![0; length];
            if length == 0 || stream.read_exact(&mut frame).is_err() {
                return;
            }
            match frame[0] {
                b'q' => self.work_on(&frame[1..], at, &writer),
                b'c' => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    self.record
                        .note_at(at, format!("{}: part {id} given up", self.uid));
                }
                letter => write_frame(&writer, letter, b"served"),
            }
        }
    }

    /// Works on the parts of one call, and answers each.
    fn work_on(&self, mut payload: &[u8], at: f64, writer: &Arc<Mutex<TcpStream>>) {
        while let Some(end) = payload.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&payload[..end]).into_owned();
            let words: Vec<&str> = line.split(' ').collect();
            let length: usize = words.last().and_then(|word| word.parse().ok()).unwrap_or(0);
            payload = payload.get(end + 1 + length..).unwrap_or_default();
            let id = words[0].to_owned();
            self.record
                .note_at(at, format!("{}: part {line}", self.uid));
            self.arrived.lock().unwrap().push(at);
            let (node, writer) = (self.clone(), writer.clone());
            std::thread::spawn(move || {
                std::thread::sleep(node.work);
                let answer = format!("{id} served 1 -\n{:016x}", id.len() as u64 * 7_919);
                write_frame(&writer, b'a', answer.as_bytes());
                node.record.note(format!("{}: part {id} served", node.uid));
            });
        }
    }
}

fn write_frame(writer: &Mutex<TcpStream>, letter: u8, rest: &[u8]) {
    let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    let _ = writer.lock().unwrap().write_all(&bytes);
}
