//! Reader of inventories as CSV with a header.

use super::entry::{Entry, Field, Locator};
use super::error::{InventoryError, InventoryErrorKind};
use super::{first, Server};
use csv::StringRecord;

/// Columns that a header must have.
const REQUIRED_COLUMNS: [&str; 3] = ["name", "address", "collections"];

/// Reads CSV with a header; `file` is the file's name in errors.
///
/// # Errors
///
/// Fails with the first fault.
pub fn read_csv(file: &str, text: &str) -> Result<Vec<Server>, InventoryError> {
    read_with_all_errors(file, text).map_err(first)
}

/// Reads CSV with a header, or returns every fault.
pub(super) fn read_with_all_errors(
    file: &str,
    text: &str,
) -> Result<Vec<Server>, Vec<InventoryError>> {
    let locator = Locator { file };
    let mut rows = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .flexible(false)
        .from_reader(text.as_bytes());
    let malformed =
        |error: csv::Error| locator.error(line_of(&error), "", InventoryErrorKind::Csv(error));
    let header = rows
        .headers()
        .map_err(|error| vec![malformed(error)])?
        .clone();
    let lacks = |column: &&&str| !header.iter().any(|name| name == **column);
    let missing = |column: &&str| locator.error(1, column, InventoryErrorKind::MissingColumn);
    let mut errors: Vec<_> = REQUIRED_COLUMNS.iter().filter(lacks).map(missing).collect();
    if !errors.is_empty() {
        return Err(errors);
    }
    let mut entries = Vec::new();
    for row in rows.records() {
        match row {
            Ok(row) => entries.push(entry(&header, &row)),
            Err(error) => errors.push(malformed(error)),
        }
    }
    locator.servers(&entries, errors)
}

/// Returns the entry of a row. An empty field counts as absent.
fn entry(header: &StringRecord, row: &StringRecord) -> Entry {
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

/// Returns the number of the line with an error, from 1.
fn line_of(error: &csv::Error) -> usize {
    error
        .position()
        .map_or(1, |position| position.line() as usize)
}
