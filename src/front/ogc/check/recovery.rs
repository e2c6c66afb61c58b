//! Error recovery for edge files, so that one run reports every fault.
//!
//! The TOML reader stops at the first fault. The faulty line is given a valid value or blanked, and
//! the file is parsed again.

use super::super::config::EdgeConfig;
use super::MAX_FAULTS;
use std::ops::Range;

/// Replacements that are tried for a faulty value, one for each type that a key may have.
const SUBSTITUTES: [&str; 6] = ["1", "1.0", "\"x\"", "\"127.0.0.1:0\"", "true", "[]"];

/// A fault and its line, from 1.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LineFault {
    /// Line number, from 1.
    pub(super) line: usize,
    /// Description of the fault.
    pub(super) message: String,
}

/// Result of parsing an edge file with recovery.
pub(super) struct RecoveredEdge {
    /// Configuration, if the file has no fault.
    pub(super) edge: Option<EdgeConfig>,
    /// Faults by line.
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
        // A missing field has no line to blank, and an unfinished table hides the lines after it.
        let is_final = span.is_empty() || message.starts_with("missing field");
        faults.push(LineFault { line, message });
        if is_final || !repair(&mut repaired, line) {
            break;
        }
    }
    faults.sort();
    RecoveredEdge { edge: None, faults }
}

/// Adds the values of `edge` that are out of range, except in lines with a fault, whose values are
/// replacements.
fn add_value_faults(text: &str, edge: &EdgeConfig, faults: &mut Vec<LineFault>) {
    let substituted: Vec<usize> = faults.iter().map(|fault| fault.line).collect();
    let issues = edge.validate().into_iter();
    let values = issues.map(|issue| LineFault {
        line: line_with(text, &issue.anchor),
        message: issue.error.to_string(),
    });
    faults.extend(values.filter(|fault| !substituted.contains(&fault.line)));
}

/// Replaces the value of a faulty line by a valid one, or blanks the line, so that the lines after
/// it are parsed too. Returns `false` if the line was blank already.
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

/// Returns whether the reader's next fault is at this line.
fn fails_at(text: &str, line: usize) -> bool {
    match toml::from_str::<EdgeConfig>(text) {
        Ok(_) => false,
        Err(error) => line_at(text, &error.span().unwrap_or(0..0)) == line,
    }
}

/// Returns the range of the line that begins at `start`, without its line end.
fn line_range(text: &str, start: usize) -> Range<usize> {
    let end = text[start..]
        .find('\n')
        .map_or(text.len(), |length| start + length);
    start..end
}

/// Returns the number of the line in which a range of a text begins, from 1.
fn line_at(text: &str, range: &Range<usize>) -> usize {
    text[..range.start.min(text.len())].matches('\n').count() + 1
}

/// Returns the number of the first line that has `part` outside of a comment, or 1 if none has.
pub(super) fn line_with(text: &str, part: &str) -> usize {
    let has_part = |line: &str| line.split('#').next().unwrap_or_default().contains(part);
    text.lines()
        .position(has_part)
        .map_or(1, |position| position + 1)
}
