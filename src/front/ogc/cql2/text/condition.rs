//! Parsers of conditions: conjunctions and disjunctions, relations and predicates.

use super::super::{
    ArrayRelation, ComparisonOperator, Filter, SpatialRelation, TemporalRelation, Value,
};
use super::geometry::spatial_operand;
use super::lexer::{
    boolean, is_name_character, keyword, nested, property, required_symbol, symbol, Input, Parsed,
};
use super::operand::{array_operand, scalar, temporal_operand};
use super::{flatten, Junction};
use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext};
use winnow::prelude::*;
use winnow::token::take_while;

/// Parses a condition: one or more conjunctions joined by `OR`.
pub(super) fn condition(input: &mut Input<'_>) -> Parsed<Filter> {
    nested(|input| {
        let mut conditions: Vec<Filter> =
            separated(1.., conjunction, keyword("OR")).parse_next(input)?;
        Ok(if conditions.len() == 1 {
            conditions.swap_remove(0)
        } else {
            Filter::Or(flatten(conditions, Junction::Or))
        })
    })(input)
}

/// Parses one or more factors joined by `AND`.
fn conjunction(input: &mut Input<'_>) -> Parsed<Filter> {
    let mut conditions: Vec<Filter> = separated(1.., factor, keyword("AND")).parse_next(input)?;
    Ok(if conditions.len() == 1 {
        conditions.swap_remove(0)
    } else {
        Filter::And(flatten(conditions, Junction::And))
    })
}

/// Parses a primary condition, optionally after `NOT`.
fn factor(input: &mut Input<'_>) -> Parsed<Filter> {
    if opt(keyword("NOT")).parse_next(input)?.is_some() {
        let inner = nested(|input| cut_err(factor).parse_next(input))(input)?;
        return Ok(Filter::Not(Box::new(inner)));
    }
    primary(input)
}

/// Parses a relation, a predicate, a condition in parentheses, a constant, or a boolean property.
fn primary(input: &mut Input<'_>) -> Parsed<Filter> {
    if let Some(found) = opt(alt((relation, predicate))).parse_next(input)? {
        return Ok(found);
    }
    let in_parentheses = delimited(symbol("("), condition, required_symbol(")"));
    alt((
        in_parentheses,
        boolean.map(Filter::Constant),
        property.map(Filter::BooleanProperty),
    ))
    .context(StrContext::Label("a condition"))
    .parse_next(input)
}

/// Parses a spatial (`S_...`), temporal (`T_...`) or array relation (`A_...`) with its two
/// operands.
fn relation(input: &mut Input<'_>) -> Parsed<Filter> {
    let name = preceded(multispace0, take_while(3.., is_name_character))
        .verify(|n: &str| n.get(1..2) == Some("_"));
    let name = terminated(name, symbol("("))
        .parse_next(input)?
        .to_ascii_uppercase();
    if let Some(relation) = SpatialRelation::ALL
        .iter()
        .find(|relation| relation.text() == name)
    {
        let (left, right) = operands(input, spatial_operand)?;
        return Ok(Filter::Spatial(*relation, left, right));
    }
    if let Some(relation) = TemporalRelation::ALL
        .iter()
        .find(|relation| relation.text() == name)
    {
        let (left, right) = operands(input, temporal_operand)?;
        return Ok(Filter::Temporal(*relation, left, right));
    }
    if let Some(relation) = ArrayRelation::ALL
        .iter()
        .find(|relation| relation.text() == name)
    {
        let (left, right) = operands(input, array_operand)?;
        return Ok(Filter::Array(*relation, left, right));
    }
    Err(ErrMode::Backtrack(ContextError::new()))
}

/// Parses two operands with a comma between them, and the closing parenthesis.
fn operands(
    input: &mut Input<'_>,
    operand: fn(&mut Input<'_>) -> Parsed<Value>,
) -> Parsed<(Value, Value)> {
    let left = cut_err(operand).parse_next(input)?;
    required_symbol(",")(input)?;
    let right = cut_err(operand).parse_next(input)?;
    required_symbol(")")(input)?;
    Ok((left, right))
}

/// Parses a comparison, `IS NULL`, `LIKE`, `BETWEEN` or `IN`.
fn predicate(input: &mut Input<'_>) -> Parsed<Filter> {
    let left = scalar(input)?;
    if let Some(operator) = opt(comparison_operator).parse_next(input)? {
        let right = cut_err(scalar)
            .context(StrContext::Label("a value"))
            .parse_next(input)?;
        return Ok(Filter::Compare(operator, left, right));
    }
    if opt(keyword("IS")).parse_next(input)?.is_some() {
        let negated = opt(keyword("NOT")).parse_next(input)?.is_some();
        cut_err(keyword("NULL"))
            .context(StrContext::Label("NULL"))
            .parse_next(input)?;
        return Ok(negate(Filter::IsNull(left), negated));
    }
    let negated = opt(keyword("NOT")).parse_next(input)?.is_some();
    let found = if opt(keyword("LIKE")).parse_next(input)?.is_some() {
        Filter::Like(
            left,
            cut_err(scalar)
                .context(StrContext::Label("a pattern"))
                .parse_next(input)?,
        )
    } else if opt(keyword("BETWEEN")).parse_next(input)?.is_some() {
        between(input, left)?
    } else {
        keyword("IN").parse_next(input)?;
        in_list(input, left)?
    };
    Ok(negate(found, negated))
}

/// Parses a comparison operator.
fn comparison_operator(input: &mut Input<'_>) -> Parsed<ComparisonOperator> {
    for operator in ComparisonOperator::ALL {
        if opt(symbol(operator.text())).parse_next(input)?.is_some() {
            return Ok(*operator);
        }
    }
    Err(ErrMode::Backtrack(ContextError::new()))
}

/// Parses the two bounds after `BETWEEN`.
fn between(input: &mut Input<'_>, value: Value) -> Parsed<Filter> {
    let low = cut_err(scalar)
        .context(StrContext::Label("a number"))
        .parse_next(input)?;
    cut_err(keyword("AND"))
        .context(StrContext::Label("AND"))
        .parse_next(input)?;
    let high = cut_err(scalar)
        .context(StrContext::Label("a number"))
        .parse_next(input)?;
    Ok(Filter::Between(value, low, high))
}

/// Parses the list of values after `IN`.
fn in_list(input: &mut Input<'_>, value: Value) -> Parsed<Filter> {
    required_symbol("(")(input)?;
    let list: Vec<Value> = cut_err(separated(1.., scalar, symbol(",")))
        .context(StrContext::Label("a value"))
        .parse_next(input)?;
    required_symbol(")")(input)?;
    Ok(Filter::In(value, list))
}

/// Returns the negation of a filter if `negated`, else the filter.
fn negate(filter: Filter, negated: bool) -> Filter {
    if negated {
        Filter::Not(Box::new(filter))
    } else {
        filter
    }
}
