//! Frames between the process under test and data nodes: a length of four bytes, a letter for the
//! kind, and text. Owns the reading and writing of them.

use std::io::{Read, Result, Write};
use std::net::TcpStream;

/// The kind of a frame that carries a call of one or more parts.
pub const CALL: u8 = b'q';
/// The kind of a frame that cancels a part.
pub const CANCEL: u8 = b'c';
/// The kind of a frame that answers a part.
pub const ANSWER: u8 = b'a';

/// Writes a frame of this kind.
pub fn write_frame(stream: &mut TcpStream, kind: u8, text: &str) -> Result<()> {
    let mut bytes = (text.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(text.as_bytes());
    stream.write_all(&bytes)
}

/// Writes the answer of a part: the id, the outcome, and the value.
pub fn write_answer(stream: &mut TcpStream, text: &str) -> Result<()> {
    write_frame(stream, ANSWER, text)
}

/// A frame as it was read.
pub struct Frame {
    /// The kind: one of the constants of this module.
    pub kind: u8,
    /// The text after the kind.
    pub text: String,
}

/// Reads the next frame.
pub fn read_frame(stream: &mut TcpStream) -> Result<Frame> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut text = vec![0; length - 1];
    stream.read_exact(&mut text)?;
    Ok(Frame {
        kind: head[4],
        text: String::from_utf8(text).expect("text"),
    })
}

/// Reads the next call; cancels before it are skipped.
pub fn read_call(stream: &mut TcpStream) -> Result<String> {
    loop {
        let frame = read_frame(stream)?;
        if frame.kind == CALL {
            return Ok(frame.text);
        }
    }
}

/// Reads the next call and returns the ids of its parts; cancels before it are skipped.
pub fn read_part_ids(stream: &mut TcpStream) -> Result<Vec<String>> {
    Ok(call_part_ids(&read_call(stream)?))
}

/// Returns the ids of the parts of a call.
pub fn call_part_ids(call: &str) -> Vec<String> {
    let mut rest = call;
    let mut ids = Vec::new();
    while let Some((line, after)) = rest.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let payload_length: usize = words[3].parse().expect("a length");
        ids.push(words[0].to_owned());
        rest = &after[payload_length..];
    }
    ids
}

/// Serves every part on this connection until it ends; `received` is called with each part's id
/// first.
pub fn serve_parts(mut stream: TcpStream, mut received: impl FnMut(&str)) -> Result<()> {
    loop {
        for id in read_part_ids(&mut stream)? {
            received(&id);
            write_answer(&mut stream, &format!("{id} served 18 -\ncell"))?;
        }
    }
}
