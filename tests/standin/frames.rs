//! Reads and writes the frames between the process under test and data nodes. A frame consists of a
//! length of four bytes, a letter that denotes its kind, and text.

use std::io::{Read, Result, Write};
use std::net::TcpStream;

/// The kind of a frame that carries a call of one or more parts.
pub const CALL: u8 = b'q';
/// The kind of a frame that cancels an attempt at a part.
pub const CANCEL: u8 = b'c';
/// The kind of a frame that answers a part.
pub const ANSWER: u8 = b'a';

/// Writes a frame of this kind.
pub fn write_frame(stream: &mut TcpStream, kind: u8, text: &str) -> Result<()> {
    stream.write_all(&encode_frame(kind, text, text.len()))
}

/// Writes a complete answer whose length field is too small by this number of bytes.
pub fn write_answer_with_short_length(
    stream: &mut TcpStream,
    text: &str,
    missing: usize,
) -> Result<()> {
    stream.write_all(&encode_frame(ANSWER, text, text.len() - missing))
}

/// Encodes a frame whose length field states this length of the text.
fn encode_frame(kind: u8, text: &str, stated_length: usize) -> Vec<u8> {
    let mut bytes = (stated_length as u32 + 1).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Writes the answer to an attempt at a part. The text has the part's id, the outcome and the
/// value.
pub fn write_answer(stream: &mut TcpStream, text: &str) -> Result<()> {
    write_frame(stream, ANSWER, text)
}

/// A frame that was read.
pub struct Frame {
    /// The letter that denotes the kind.
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
        text: String::from_utf8(text).expect("the text of the frame is UTF-8"),
    })
}

/// Reads frames up to the next call and returns the text of the call.
pub fn read_call(stream: &mut TcpStream) -> Result<String> {
    loop {
        let frame = read_frame(stream)?;
        if frame.kind == CALL {
            return Ok(frame.text);
        }
    }
}

/// Reads frames up to the next call and returns the ids of the parts in the call.
pub fn read_part_ids(stream: &mut TcpStream) -> Result<Vec<String>> {
    Ok(call_part_ids(&read_call(stream)?))
}

/// Returns the ids of the parts in the text of a call.
pub fn call_part_ids(call: &str) -> Vec<String> {
    let mut rest = call;
    let mut ids = Vec::new();
    while let Some((line, after)) = rest.split_once('\n') {
        let fields: Vec<&str> = line.split(' ').collect();
        let payload_length: usize = fields[3].parse().expect("the length is a number");
        ids.push(fields[0].to_owned());
        rest = &after[payload_length..];
    }
    ids
}

/// Answers every part that arrives on a connection, until the connection ends. Calls `on_received`
/// with the id of each part before it answers.
pub fn serve_parts(mut stream: TcpStream, mut on_received: impl FnMut(&str)) -> Result<()> {
    loop {
        for id in read_part_ids(&mut stream)? {
            on_received(&id);
            write_answer(&mut stream, &format!("{id} served 18 -\ncell"))?;
        }
    }
}
