//! Error recovery for edge files, so that one run reports every fault.
//!
//! The TOML parser stops at the first fault. Recovery replaces the value in the faulty line by a
//! valid one, or blanks the line, and parses the file again.

use super::super::config::EdgeConfig;
use super::MAX_FAULTS;
use std::ops::Range;

/// Values that are tried as replacements of a faulty one: one of each type that a key may have.
const SUBSTITUTES: [&str; 6] = ["1", "1.0", "\"x\"", "\"127.0.0.1:0\"", "true", "[]"];

/// A fault of an edge file, with its line.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LineFault {
    /// Line number, from 1.
    pub(super) line: usize,
    /// Description of the fault.
    pub(super) message: String,
}

/// Result of parsing an edge file with recovery.
pub(super) struct RecoveredEdge {
    /// Configuration; `None` if the file has faults.
    pub(super) edge: Option<EdgeConfig>,
    /// Faults in the order of their lines.
    pub(super) faults: Vec<LineFault>,
}

/// Parses an edge file and collects its faults.
pub(super) fn parse_with_recovery(text: &str) -> RecoveredEdge {
    let mut repaired = text.to_owned();
    let mut faults: Vec<LineFault> = Vec::new();
    while faults.len() < MAX_FAULTS {
        let error = match toml::from_str::<EdgeConfig>(&repaired) {
            Ok(edge) => {
                add_value_faults(text, &edge, &mut faults);
                faults.sort();
                let edge = faults.is_empty().then_some(edge);
                return RecoveredEdge { edge, faults };
            }
            Err(error) => error,
        };
        let message = error.message().to_owned();
        let span = error.span().unwrap_or(0..0);
        let line = line_at(&repaired, &span);
        // A missing field has no line that could be repaired, and after an unfinished table the
        // following lines can't be parsed.
        let is_unrecoverable = span.is_empty() || message.starts_with("missing field");
        faults.push(LineFault { line, message });
        if is_unrecoverable || !repair(&mut repaired, line) {
            break;
        }
    }
    faults.sort();
    RecoveredEdge { edge: None, faults }
}

/// Adds a fault for each value of `edge` that is out of range, except in lines that already have a
/// fault: their values are replacements.
fn add_value_faults(text: &str, edge: &EdgeConfig, faults: &mut Vec<LineFault>) {
    let replaced_lines: Vec<usize> = faults.iter().map(|fault| fault.line).collect();
    let issues = edge.validate().into_iter();
    let value_faults = issues.map(|issue| LineFault {
        line: line_containing(text, &issue.anchor),
        message: issue.error.to_string(),
    });
    faults.extend(value_faults.filter(|fault| !replaced_lines.contains(&fault.line)));
}

/// Replaces the value in a faulty line by a valid one, or blanks the line, so that the following
/// lines can be parsed. Returns `false` if the line was blank already.
fn repair(text: &mut String, line: usize) -> bool {
    let start: usize = text
        .split_inclusive('\n')
        .take(line - 1)
        .map(str::len)
        .sum();
    let faulty = text[line_range(text, start)].to_owned();
    if let Some((key, _)) = faulty.split_once('=') {
        for value in SUBSTITUTES {
            text.replace_range(line_range(text, start), &format!("{key}={value}"));
            if !fails_at(text, line) {
                return true;
            }
        }
    }
    text.replace_range(line_range(text, start), "");
    !faulty.trim().is_empty()
}

/// Returns whether the parser's first fault is in this line.
fn fails_at(text: &str, line: usize) -> bool {
    match toml::from_str::<EdgeConfig>(text) {
        Ok(_) => false,
        Err(error) => line_at(text, &error.span().unwrap_or(0..0)) == line,
    }
}

/// Returns the byte range of the line that begins at `start`, without the line break.
fn line_range(text: &str, start: usize) -> Range<usize> {
    let end = text[start..]
        .find('\n')
        .map_or(text.len(), |length| start + length);
    start..end
}

/// Returns the number of the line, from 1, in which a byte range of a text begins.
fn line_at(text: &str, range: &Range<usize>) -> usize {
    text[..range.start.min(text.len())].matches('\n').count() + 1
}

/// Returns the number, from 1, of the first line that contains `part` outside of a comment, or 1 if
/// there is none.
pub(super) fn line_containing(text: &str, part: &str) -> usize {
    let has_part = |line: &str| line.split('#').next().unwrap_or_default().contains(part);
    text.lines()
        .position(has_part)
        .map_or(1, |position| position + 1)
}
