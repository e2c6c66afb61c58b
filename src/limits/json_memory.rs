//! An estimate of the memory that a JSON text needs once it is parsed, made before it is parsed.

/// The memory of a value in a tree of JSON values, with its share of an array's spare capacity, in
/// bytes.
const VALUE_BYTES: usize = 100;
/// The memory of an object's first node, in bytes.
const OBJECT_BYTES: usize = 700;
/// The number of copies of a text's own bytes that a parsed request holds: the text, its strings and
/// its geometries.
const TEXT_COPIES: usize = 3;

/// Returns the memory, in bytes, that a JSON text and its tree of values need at most. The text may
/// be malformed.
#[must_use]
pub fn json_memory(text: &[u8]) -> usize {
    let mut values: usize = 1;
    let mut objects: usize = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b',' | b'[' => values += 1,
            b'{' => objects += 1,
            _ => {}
        }
    }
    text.len() * TEXT_COPIES + (values + objects) * VALUE_BYTES + objects * OBJECT_BYTES
}

#[cfg(test)]
mod tests;
