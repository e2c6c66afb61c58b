//! Parser of CQL2 text, made of combinators that follow the standard's grammar (OGC 21-065r2,
//! annex B).

mod condition;
mod geometry;
mod lexer;
mod operand;

use super::{filter_error, Filter, FilterError, MAX_DEPTH};
use condition::condition;
use lexer::{Depth, Input, DEPTH_LABEL};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stateful};

/// Maximum number of characters of the filter that an error message quotes.
const MAX_EXCERPT_CHARACTERS: usize = 24;

/// Parses a filter.
///
/// # Errors
///
/// Fails if the text is not a filter, or if the filter exceeds a limit on its size or depth.
pub fn parse_text(text: &str) -> Result<Filter, FilterError> {
    let mut input = Stateful {
        input: LocatingSlice::new(text),
        state: Depth::default(),
    };
    let parsed = condition.parse_next(&mut input);
    let excerpt = unparsed_excerpt(&input, text);
    match parsed {
        Ok(filter) if excerpt.is_empty() => filter.within_limits(),
        Ok(_) => filter_error(format!("not understood from {excerpt:?} on")),
        Err(ErrMode::Cut(error) | ErrMode::Backtrack(error)) => {
            filter_error(error_message(&error, &excerpt))
        }
        Err(ErrMode::Incomplete(_)) => filter_error("it ends too early"),
    }
}

/// Returns the first characters of the text that was not parsed, for an error message.
fn unparsed_excerpt(input: &Input<'_>, text: &str) -> String {
    let start = input.input.current_token_start().min(text.len());
    text[start..]
        .trim_start()
        .chars()
        .take(MAX_EXCERPT_CHARACTERS)
        .collect()
}

/// Returns the message for an error: what is missing, by the error's first label, and the excerpt
/// before which it is missing.
fn error_message(error: &ContextError, excerpt: &str) -> String {
    let label = error.context().find_map(|context| match context {
        StrContext::Label(label) => Some(*label),
        _ => None,
    });
    match label {
        Some(DEPTH_LABEL) => format!("it is nested more than {MAX_DEPTH} deep"),
        Some(label) if excerpt.is_empty() => format!("{label} is needed at the end"),
        Some(label) => format!("{label} is needed before {excerpt:?}"),
        None => format!("not understood from {excerpt:?} on"),
    }
}

/// Logical operator that joins two conditions or more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Junction {
    /// Conjunction.
    And,
    /// Disjunction.
    Or,
}

/// Returns a list of conditions in which each condition of the same junction is replaced by its own
/// conditions, so that `(a AND b) AND c` and `a AND b AND c` result in equal trees.
#[must_use]
pub fn flatten(conditions: Vec<Filter>, junction: Junction) -> Vec<Filter> {
    let inner = |condition| match condition {
        Filter::And(inner) if junction == Junction::And => inner,
        Filter::Or(inner) if junction == Junction::Or => inner,
        condition => vec![condition],
    };
    conditions.into_iter().flat_map(inner).collect()
}
