//! Reader of inventories as CSV with a header.

use super::entry::{Entry, EntryValidator, Field};
use super::error::{InventoryError, InventoryErrorKind};
use super::{first_error, Inventory};
use csv::StringRecord;

/// Columns that a header must have.
const REQUIRED_COLUMNS: [&str; 3] = ["name", "address", "collections"];

/// Reads an inventory as CSV with a header; `file` is the file's name in errors.
///
/// # Errors
///
/// Fails with the first error of the inventory.
pub fn read_csv(file: &str, text: &str) -> Result<Inventory, InventoryError> {
    read_with_all_errors(file, text).map_err(first_error)
}

/// Reads an inventory as CSV with a header, or returns all errors.
pub(super) fn read_with_all_errors(
    file: &str,
    text: &str,
) -> Result<Inventory, Vec<InventoryError>> {
    let validator = EntryValidator { file };
    let mut rows = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .flexible(false)
        .from_reader(text.as_bytes());
    let syntax_error = |error: csv::Error| {
        validator.error(line_number(&error), "", InventoryErrorKind::Csv(error))
    };
    let header = rows
        .headers()
        .map_err(|error| vec![syntax_error(error)])?
        .clone();
    let is_missing = |column: &&&str| !header.iter().any(|name| name == **column);
    let missing_column =
        |column: &&str| validator.error(1, column, InventoryErrorKind::MissingColumn);
    let mut errors: Vec<_> = REQUIRED_COLUMNS
        .iter()
        .filter(is_missing)
        .map(missing_column)
        .collect();
    if !errors.is_empty() {
        return Err(errors);
    }
    let mut entries = Vec::new();
    for row in rows.records() {
        match row {
            Ok(row) => entries.push(row_to_entry(&header, &row)),
            Err(error) => errors.push(syntax_error(error)),
        }
    }
    validator.validate(&entries, errors)
}

/// Returns the entry in a row. An empty field counts as absent.
fn row_to_entry(header: &StringRecord, row: &StringRecord) -> Entry {
    let line = row
        .position()
        .map_or(0, |position| position.line() as usize);
    let mut entry = Entry {
        line,
        ..Entry::default()
    };
    for (column, text) in header.iter().zip(row.iter()) {
        if column == "name" {
            entry.name = text.to_owned();
        } else if !text.is_empty() {
            entry.fields.insert(
                column.to_owned(),
                Field {
                    text: text.to_owned(),
                    line,
                },
            );
        }
    }
    entry
}

/// Returns the number of the line with an error, from 1; 1 if the error has no position.
fn line_number(error: &csv::Error) -> usize {
    error
        .position()
        .map_or(1, |position| position.line() as usize)
}
