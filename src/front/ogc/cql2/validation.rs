//! Validation of a filter against the queryables of a collection: its names must be queryables, and
//! its operands must be well-formed and of the types that their operators take.

use super::eval::{parse_instant, TimeSpan};
use super::{
    filter_error, Filter, FilterError, QueryableType, Queryables, TemporalRelation, Value,
};

/// Checks that a filter can be evaluated on features with these queryables.
///
/// # Errors
///
/// Fails if a name is not a queryable, or if an operand is malformed or of a type that its operator
/// does not take.
pub fn validate(filter: &Filter, queryables: &Queryables) -> Result<(), FilterError> {
    let validator = Validator { queryables };
    validator.validate(filter)
}

/// Validator of filters against queryables.
#[derive(Clone, Copy)]
struct Validator<'a> {
    queryables: &'a Queryables,
}

impl Validator<'_> {
    fn validate(self, filter: &Filter) -> Result<(), FilterError> {
        match filter {
            Filter::And(children) | Filter::Or(children) => {
                children.iter().try_for_each(|child| self.validate(child))
            }
            Filter::Not(child) => self.validate(child),
            Filter::Constant(_) => Ok(()),
            Filter::Compare(_, left, right) => {
                self.check_comparable(left, self.type_of(left)?, right)
            }
            Filter::Like(text, pattern) => self.check_like(text, pattern),
            Filter::Between(value, low, high) => self.check_between(value, [low, high]),
            Filter::In(value, list) => {
                let value_type = self.type_of(value)?;
                list.iter()
                    .try_for_each(|item| self.check_comparable(value, value_type, item))
            }
            Filter::IsNull(value) => self.check_property(value).map(drop),
            Filter::BooleanProperty(value) => match self.check_property(value)? {
                QueryableType::Bool | QueryableType::Any => Ok(()),
                _ => filter_error(format!("{value} is neither true nor false")),
            },
            Filter::Spatial(_, left, right) => {
                self.check_type(left, QueryableType::Geometry, "geometry")?;
                self.check_type(right, QueryableType::Geometry, "geometry")
            }
            Filter::Temporal(relation, left, right) => self.check_temporal(*relation, left, right),
            Filter::Array(_, left, right) => {
                self.check_type(left, QueryableType::Array, "array")?;
                self.check_type(right, QueryableType::Array, "array")
            }
        }
    }

    /// Checks that a value has the expected type or may have it; `type_name` is the name of that
    /// type in the error message.
    fn check_type(
        self,
        value: &Value,
        expected: QueryableType,
        type_name: &str,
    ) -> Result<(), FilterError> {
        let found = self.type_of(value)?;
        if found == expected || found == QueryableType::Any {
            Ok(())
        } else {
            filter_error(format!("{value} is no {type_name}"))
        }
    }

    /// Checks that two values can be compared. The caller passes the type of the left one.
    fn check_comparable(
        self,
        left: &Value,
        left_type: QueryableType,
        right: &Value,
    ) -> Result<(), FilterError> {
        let right_type = self.type_of(right)?;
        if !is_scalar(left_type) || !is_scalar(right_type) {
            return filter_error(format!("{left} and {right} cannot be compared so"));
        }
        // A time can be compared with a text, which is parsed as a date or a timestamp.
        let is_time_as_text = matches!(
            (left_type, right_type),
            (QueryableType::Time, QueryableType::Text) | (QueryableType::Text, QueryableType::Time)
        );
        let is_any = left_type == QueryableType::Any || right_type == QueryableType::Any;
        if left_type == right_type || is_any || is_time_as_text {
            return Ok(());
        }
        filter_error(format!("{left} and {right} are of different kinds"))
    }

    fn check_like(self, text: &Value, pattern: &Value) -> Result<(), FilterError> {
        self.check_type(text, QueryableType::Text, "text")?;
        if !matches!(
            pattern,
            Value::Text(_) | Value::Casei(_) | Value::Accenti(_)
        ) {
            return filter_error(format!("{pattern} is no pattern"));
        }
        self.check_type(pattern, QueryableType::Text, "text")
    }

    fn check_between(self, value: &Value, bounds: [&Value; 2]) -> Result<(), FilterError> {
        let value_type = self.type_of(value)?;
        if !matches!(
            value_type,
            QueryableType::Number | QueryableType::Time | QueryableType::Any
        ) {
            return filter_error(format!("{value} is neither a number nor a time"));
        }
        bounds
            .into_iter()
            .try_for_each(|bound| self.check_comparable(value, value_type, bound))
    }

    /// Checks that a value is a property, and returns its type.
    fn check_property(self, value: &Value) -> Result<QueryableType, FilterError> {
        match value {
            Value::Property(_) => self.type_of(value),
            _ => filter_error(format!("{value} is no property")),
        }
    }

    fn check_temporal(
        self,
        relation: TemporalRelation,
        left: &Value,
        right: &Value,
    ) -> Result<(), FilterError> {
        self.check_type(left, QueryableType::Time, "time")?;
        self.check_type(right, QueryableType::Time, "time")?;
        // A date is not an instant but the interval of its day.
        let is_instant = |value: &&Value| matches!(value, Value::Timestamp(_));
        match [left, right].into_iter().find(is_instant) {
            Some(instant) if !relation.allows_instants() => filter_error(format!(
                "{} needs two intervals; {instant} is none",
                relation.text()
            )),
            _ => Ok(()),
        }
    }

    /// Returns the type of a value after checking the value and its own operands.
    fn type_of(self, value: &Value) -> Result<QueryableType, FilterError> {
        match value {
            Value::Property(name) => self.queryables.type_of(name),
            Value::Text(_) => Ok(QueryableType::Text),
            Value::Number(_) => Ok(QueryableType::Number),
            Value::Bool(_) => Ok(QueryableType::Bool),
            Value::Date(text) => check_date(text),
            Value::Timestamp(text) => check_timestamp(text),
            Value::Interval(from, to) => self.check_interval(from.as_deref(), to.as_deref()),
            Value::Geometry(_) | Value::Bbox(_) => Ok(QueryableType::Geometry),
            Value::Array(items) => {
                items
                    .iter()
                    .try_for_each(|item| self.type_of(item).map(drop))?;
                Ok(QueryableType::Array)
            }
            Value::Arithmetic(_, left, right) => {
                self.check_type(left, QueryableType::Number, "number")?;
                self.check_type(right, QueryableType::Number, "number")?;
                Ok(QueryableType::Number)
            }
            Value::Casei(text) | Value::Accenti(text) => {
                self.check_type(text, QueryableType::Text, "text")?;
                Ok(QueryableType::Text)
            }
        }
    }

    /// Checks the ends of an interval, which is open at an end that is `None`, and returns its
    /// type.
    fn check_interval(
        self,
        from: Option<&Value>,
        to: Option<&Value>,
    ) -> Result<QueryableType, FilterError> {
        for end in from.into_iter().chain(to) {
            self.check_type(end, QueryableType::Time, "time")?;
        }
        let from = from.and_then(constant_time);
        let to = to.and_then(constant_time);
        if from.zip(to).is_some_and(|(from, to)| from.from > to.to) {
            return filter_error("an interval ends before it begins");
        }
        Ok(QueryableType::Time)
    }
}

/// Returns whether values of a type can be compared by order or equality.
fn is_scalar(queryable_type: QueryableType) -> bool {
    !matches!(
        queryable_type,
        QueryableType::Geometry | QueryableType::Array
    )
}

/// Returns the time span of a date or a timestamp, or `None` if the value is neither and depends on
/// the feature.
fn constant_time(value: &Value) -> Option<TimeSpan> {
    match value {
        Value::Date(text) | Value::Timestamp(text) => parse_instant(text),
        _ => None,
    }
}

fn check_date(text: &str) -> Result<QueryableType, FilterError> {
    match parse_instant(text) {
        Some(span) if !span.is_instant() => Ok(QueryableType::Time),
        _ => filter_error(format!("{text:?} is no date")),
    }
}

fn check_timestamp(text: &str) -> Result<QueryableType, FilterError> {
    match parse_instant(text) {
        Some(span) if span.is_instant() => Ok(QueryableType::Time),
        _ => filter_error(format!("{text:?} is no timestamp")),
    }
}
