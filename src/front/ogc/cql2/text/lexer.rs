//! Parsers of the tokens of CQL2 text: symbols, keywords, literals and names. Each skips white
//! space before its token.

use super::super::{Value, MAX_DEPTH};
use winnow::ascii::{multispace0, Caseless};
use winnow::combinator::{alt, cut_err, delimited, not, opt, peek, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Stateful};
use winnow::token::{any, one_of, take_while};

/// Label of the error for a filter that is nested too deep.
pub(super) const DEPTH_LABEL: &str = "depth";

/// Keywords that cannot be names of properties unless they are quoted.
const RESERVED_WORDS: [&str; 11] = [
    "AND", "OR", "NOT", "IN", "IS", "LIKE", "BETWEEN", "NULL", "TRUE", "FALSE", "DIV",
];

/// Current depth of nesting.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Depth(pub(super) usize);

/// Input of the parsers: the text with the current position and depth of nesting.
pub(super) type Input<'a> = Stateful<LocatingSlice<&'a str>, Depth>;
/// Result of a parser.
pub(super) type Parsed<T> = ModalResult<T>;

/// Returns an error that ends parsing, so that no alternatives are tried; `label` names what is
/// expected.
pub(super) fn fatal(label: &'static str) -> ErrMode<ContextError> {
    let mut error = ContextError::new();
    error.push(StrContext::Label(label));
    ErrMode::Cut(error)
}

/// Returns a parser that runs one level deeper than its caller, and fails beyond [`MAX_DEPTH`].
pub(super) fn nested<'a, T>(
    mut parser: impl FnMut(&mut Input<'a>) -> Parsed<T>,
) -> impl FnMut(&mut Input<'a>) -> Parsed<T> {
    move |input| {
        input.state.0 += 1;
        if input.state.0 > MAX_DEPTH {
            return Err(fatal(DEPTH_LABEL));
        }
        let parsed = parser(input);
        input.state.0 -= 1;
        parsed
    }
}

/// Returns a parser of a symbol such as a parenthesis, a comma or `<=`.
pub(super) fn symbol<'a>(text: &'static str) -> impl FnMut(&mut Input<'a>) -> Parsed<()> {
    move |input| preceded(multispace0, text).void().parse_next(input)
}

/// Returns a parser of a symbol whose absence ends parsing, so that no alternatives are tried.
pub(super) fn required_symbol<'a>(text: &'static str) -> impl FnMut(&mut Input<'a>) -> Parsed<()> {
    move |input| {
        cut_err(symbol(text))
            .context(StrContext::Label(text))
            .parse_next(input)
    }
}

/// Returns a parser of a keyword, in upper or lower case, that is not the beginning of a longer
/// name.
pub(super) fn keyword<'a>(text: &'static str) -> impl FnMut(&mut Input<'a>) -> Parsed<()> {
    move |input| {
        (
            multispace0,
            Caseless(text),
            not(peek(one_of(is_name_character))),
        )
            .void()
            .parse_next(input)
    }
}

/// Returns whether a character can be part of a name or a keyword.
pub(super) fn is_name_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Parses `TRUE` or `FALSE`.
pub(super) fn boolean(input: &mut Input<'_>) -> Parsed<bool> {
    alt((keyword("TRUE").value(true), keyword("FALSE").value(false))).parse_next(input)
}

/// Parses a text in single quotation marks. A quotation mark within the text is doubled or escaped
/// by a backslash.
pub(super) fn text_literal(input: &mut Input<'_>) -> Parsed<String> {
    (multispace0, '\'').parse_next(input)?;
    let character = alt((
        "''".value('\''),
        "\\'".value('\''),
        any.verify(|c: &char| *c != '\''),
    ));
    let characters = repeat(0.., character).fold(String::new, |mut text, character: char| {
        text.push(character);
        text
    });
    terminated(characters, cut_err('\'').context(StrContext::Label("'"))).parse_next(input)
}

/// Parses a finite number.
pub(super) fn number(input: &mut Input<'_>) -> Parsed<f64> {
    let is_digit = |character: char| character.is_ascii_digit();
    let literal = (
        multispace0,
        (
            opt(one_of(['+', '-'])),
            alt((
                (
                    take_while(1.., is_digit),
                    opt(('.', take_while(0.., is_digit))),
                )
                    .void(),
                ('.', take_while(1.., is_digit)).void(),
            )),
            opt((
                one_of(['e', 'E']),
                opt(one_of(['+', '-'])),
                take_while(1.., is_digit),
            )),
        )
            .take(),
    );
    literal
        .verify_map(|(_, text): (_, &str)| {
            text.parse::<f64>().ok().filter(|number| number.is_finite())
        })
        .parse_next(input)
}

/// Parses the name of a property, with or without double quotation marks.
pub(super) fn property(input: &mut Input<'_>) -> Parsed<Value> {
    let is_first = |c: char| c.is_alphabetic() || c == '_' || c == ':';
    let is_continuation = |c: char| is_name_character(c) || c == '.' || c == ':';
    let plain = (one_of(is_first), take_while(0.., is_continuation)).take();
    let plain = plain.verify(|name: &str| {
        !RESERVED_WORDS
            .iter()
            .any(|reserved| reserved.eq_ignore_ascii_case(name))
    });
    let quoted = delimited(
        '"',
        take_while(1.., |c| c != '"'),
        cut_err('"').context(StrContext::Label("\"")),
    );
    let name = preceded(multispace0, alt((quoted, plain))).parse_next(input)?;
    // A name before a parenthesis is that of a function. The standard's functions have parsers of
    // their own, and there are no others.
    if opt(peek(symbol("("))).parse_next(input)?.is_some() {
        return Err(ErrMode::Backtrack(ContextError::new()));
    }
    Ok(Value::Property(name.to_owned()))
}
