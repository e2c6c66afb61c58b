//! Parser of CQL2 text, by combinators after the standard's grammar (OGC 21-065r2, annex B).

mod condition;
mod geometry;
mod lexer;
mod operand;

use super::{fault, Filter, FilterError, MAX_DEPTH};
use condition::condition;
use lexer::{Depth, Input, DEPTH_CONTEXT};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stateful};

/// Most characters of the text that an error quotes.
const MAX_QUOTED: usize = 24;

/// Parses a filter.
///
/// # Errors
///
/// Fails if the text is not a filter, or a filter beyond the limits.
pub fn parse_text(text: &str) -> Result<Filter, FilterError> {
    let mut input = Stateful {
        input: LocatingSlice::new(text),
        state: Depth::default(),
    };
    let parsed = condition.parse_next(&mut input);
    let rest = rest(&input, text);
    match parsed {
        Ok(filter) if rest.is_empty() => filter.bounded(),
        Ok(_) => fault(format!("not understood from {rest:?} on")),
        Err(ErrMode::Cut(error) | ErrMode::Backtrack(error)) => fault(describe(&error, &rest)),
        Err(ErrMode::Incomplete(_)) => fault("it ends too early"),
    }
}

/// Returns the beginning of the text that was not parsed.
fn rest(input: &Input<'_>, text: &str) -> String {
    let start = input.input.current_token_start().min(text.len());
    text[start..]
        .trim_start()
        .chars()
        .take(MAX_QUOTED)
        .collect()
}

/// Returns the message for an error, from its first label and the text at its position.
fn describe(error: &ContextError, rest: &str) -> String {
    let label = error.context().find_map(|context| match context {
        StrContext::Label(label) => Some(*label),
        _ => None,
    });
    match label {
        Some(DEPTH_CONTEXT) => format!("it is nested more than {MAX_DEPTH} deep"),
        Some(label) if rest.is_empty() => format!("{label} is needed at the end"),
        Some(label) => format!("{label} is needed before {rest:?}"),
        None => format!("not understood from {rest:?} on"),
    }
}

/// Operator that joins conditions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Junction {
    /// Conjunction.
    And,
    /// Disjunction.
    Or,
}

/// Flattens nested conditions of the same junction into one list, regardless of their brackets.
#[must_use]
pub fn flatten(parts: Vec<Filter>, junction: Junction) -> Vec<Filter> {
    let inner = |part| match part {
        Filter::And(inner) if junction == Junction::And => inner,
        Filter::Or(inner) if junction == Junction::Or => inner,
        part => vec![part],
    };
    parts.into_iter().flat_map(inner).collect()
}
