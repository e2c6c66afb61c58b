//! Parsers of operands: scalars with arithmetic, times and arrays.

use super::super::{ArithmeticOperator, Value, DATE_LENGTH_BYTES, MAX_DEPTH};
use super::lexer::{
    boolean, fatal, keyword, nested, number, property, required_symbol, symbol, text_literal,
    Input, Parsed, DEPTH_LABEL,
};
use winnow::combinator::{alt, cut_err, delimited, opt, peek, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;

/// Parses a value that can be compared: a sum of products of powers of atoms.
pub(super) fn scalar(input: &mut Input<'_>) -> Parsed<Value> {
    const SUM: [ArithmeticOperator; 2] = [ArithmeticOperator::Add, ArithmeticOperator::Subtract];
    nested(|input| {
        let mut left = product(input)?;
        while let Some(operator) = opt(one_operator(&SUM)).parse_next(input)? {
            let right = cut_err(product)
                .context(StrContext::Label("a number"))
                .parse_next(input)?;
            left = arithmetic(input, operator, left, right)?;
        }
        Ok(left)
    })(input)
}

/// Parses a product of powers.
fn product(input: &mut Input<'_>) -> Parsed<Value> {
    const PRODUCT: [ArithmeticOperator; 4] = [
        ArithmeticOperator::Multiply,
        ArithmeticOperator::Divide,
        ArithmeticOperator::Modulo,
        ArithmeticOperator::Div,
    ];
    let mut left = power(input)?;
    while let Some(operator) = opt(one_operator(&PRODUCT)).parse_next(input)? {
        let right = cut_err(power)
            .context(StrContext::Label("a number"))
            .parse_next(input)?;
        left = arithmetic(input, operator, left, right)?;
    }
    Ok(left)
}

/// Parses a power of atoms, which is right-associative.
fn power(input: &mut Input<'_>) -> Parsed<Value> {
    let left = atom(input)?;
    if opt(one_operator(&[ArithmeticOperator::Power]))
        .parse_next(input)?
        .is_none()
    {
        return Ok(left);
    }
    let right = nested(|input| {
        cut_err(power)
            .context(StrContext::Label("a number"))
            .parse_next(input)
    })(input)?;
    arithmetic(input, ArithmeticOperator::Power, left, right)
}

/// Returns an operator with its two operands, or an error if the tree would be deeper than
/// [`MAX_DEPTH`]. A chain of left-associative operators is a tree as deep as the chain is long, yet
/// the parser itself is not nested that deep, so the depth of `left` is counted.
fn arithmetic(
    input: &Input<'_>,
    operator: ArithmeticOperator,
    left: Value,
    right: Value,
) -> Parsed<Value> {
    if input.state.0 + arithmetic_depth(&left) > MAX_DEPTH {
        return Err(fatal(DEPTH_LABEL));
    }
    Ok(Value::Arithmetic(operator, Box::new(left), Box::new(right)))
}

/// Returns the number of arithmetic operators from the value down to its deepest operand.
fn arithmetic_depth(value: &Value) -> usize {
    match value {
        Value::Arithmetic(_, left, right) => {
            1 + arithmetic_depth(left).max(arithmetic_depth(right))
        }
        _ => 0,
    }
}

/// Returns a parser of any of these operators.
fn one_operator<'a>(
    operators: &'static [ArithmeticOperator],
) -> impl FnMut(&mut Input<'a>) -> Parsed<ArithmeticOperator> {
    move |input| {
        for operator in operators {
            let found = match operator {
                ArithmeticOperator::Div => opt(keyword("DIV")).parse_next(input)?,
                operator => opt(symbol(operator.text())).parse_next(input)?,
            };
            if found.is_some() {
                return Ok(*operator);
            }
        }
        Err(ErrMode::Backtrack(ContextError::new()))
    }
}

/// Parses a date or timestamp, a function of a text, a literal, a property, or a scalar in
/// parentheses.
fn atom(input: &mut Input<'_>) -> Parsed<Value> {
    alt((
        instant,
        text_function("CASEI", Value::Casei),
        text_function("ACCENTI", Value::Accenti),
        text_literal.map(Value::Text),
        number.map(Value::Number),
        boolean.map(Value::Bool),
        property,
        delimited(symbol("("), scalar, symbol(")")),
    ))
    .parse_next(input)
}

/// Returns a parser of the function `name` with a text as its argument.
fn text_function<'a>(
    name: &'static str,
    to_value: fn(Box<Value>) -> Value,
) -> impl FnMut(&mut Input<'a>) -> Parsed<Value> {
    move |input| {
        (keyword(name), symbol("(")).parse_next(input)?;
        let inner = cut_err(scalar)
            .context(StrContext::Label("text"))
            .parse_next(input)?;
        required_symbol(")")(input)?;
        Ok(to_value(Box::new(inner)))
    }
}

/// Parses `DATE(...)` or `TIMESTAMP(...)`.
fn instant(input: &mut Input<'_>) -> Parsed<Value> {
    let date = delimited(
        (keyword("DATE"), symbol("(")),
        text_literal,
        required_symbol(")"),
    )
    .map(Value::Date);
    let timestamp = delimited(
        (keyword("TIMESTAMP"), symbol("(")),
        text_literal,
        required_symbol(")"),
    )
    .map(Value::Timestamp);
    alt((date, timestamp)).parse_next(input)
}

/// Parses an interval, a date or timestamp, or a property.
pub(super) fn temporal_operand(input: &mut Input<'_>) -> Parsed<Value> {
    alt((interval, instant, property))
        .context(StrContext::Label("a time"))
        .parse_next(input)
}

/// Parses `INTERVAL(...)`.
fn interval(input: &mut Input<'_>) -> Parsed<Value> {
    (keyword("INTERVAL"), symbol("(")).parse_next(input)?;
    let from = interval_end(input)?;
    required_symbol(",")(input)?;
    let to = interval_end(input)?;
    required_symbol(")")(input)?;
    Ok(Value::Interval(from, to))
}

/// Parses an end of an interval. Returns `None` if the interval is open at this end.
fn interval_end(input: &mut Input<'_>) -> Parsed<Option<Box<Value>>> {
    let from_text = |text: String| match text.as_str() {
        ".." | "" => None,
        date if date.len() == DATE_LENGTH_BYTES => Some(Box::new(Value::Date(text))),
        _ => Some(Box::new(Value::Timestamp(text))),
    };
    let value = alt((instant, property)).map(|value| Some(Box::new(value)));
    cut_err(alt((text_literal.map(from_text), value)))
        .context(StrContext::Label("an end of the interval"))
        .parse_next(input)
}

/// Parses an array or a property.
pub(super) fn array_operand(input: &mut Input<'_>) -> Parsed<Value> {
    element
        .context(StrContext::Label("an array"))
        .parse_next(input)
}

/// Parses an element of an array. Parentheses around the whole element are those of a nested array;
/// all others belong to arithmetic.
fn element(input: &mut Input<'_>) -> Parsed<Value> {
    let complete = terminated(array, peek(alt((symbol(","), symbol(")")))));
    alt((complete, scalar)).parse_next(input)
}

/// Parses an array in parentheses.
fn array(input: &mut Input<'_>) -> Parsed<Value> {
    let items = |input: &mut Input<'_>| {
        let items: Vec<Value> = delimited(
            symbol("("),
            separated(0.., element, symbol(",")),
            symbol(")"),
        )
        .parse_next(input)?;
        Ok(Value::Array(items))
    };
    nested(items)(input)
}
