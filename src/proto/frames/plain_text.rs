//! Plain text, of which every value consists: UTF-8 without control characters.

/// Returns whether the bytes are plain text.
pub(super) fn is_plain_text(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes).is_ok_and(|text| !text.contains(char::is_control))
}

/// Returns the number of bytes at the beginning that are plain text. A character whose last bytes
/// are missing counts as plain text.
pub(super) fn plain_text_length(bytes: &[u8]) -> usize {
    let control_or_end = |text: &str, end: usize| text.find(char::is_control).unwrap_or(end);
    match std::str::from_utf8(bytes) {
        Ok(text) => control_or_end(text, bytes.len()),
        Err(error) => {
            let valid = error.valid_up_to();
            let end = if error.error_len().is_none() {
                bytes.len()
            } else {
                valid
            };
            let text = std::str::from_utf8(&bytes[..valid]).unwrap_or_default();
            control_or_end(text, end)
        }
    }
}

#[cfg(test)]
mod tests;
