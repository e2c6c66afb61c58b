//! `quinceflow check`: every fault of an edge file and its inventory, each with its line.

use super::config::EdgeConfig;
use super::inventory::read_file_with_all_errors;
use std::fmt;
use std::path::Path;

/// Faults told at most: a file of another kind has one a line.
const MAX_FAULTS: usize = 100;

/// What is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The line, from 1; 0 where it has none.
    pub line: usize,
    /// What is wrong.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.why)
    }
}

/// What a check found.
#[derive(Debug, Default)]
pub struct Report {
    /// Every fault, in the order of files and lines.
    pub faults: Vec<Fault>,
    /// What the files set up, if they are sound.
    pub summary: String,
}

/// Checks an edge file and the inventory that it names. Nothing is connected to or listened at.
pub fn edge_file(path: &Path) -> Report {
    let file = path.file_name().unwrap_or(path.as_os_str()).to_string_lossy().into_owned();
    let fault = |line: usize, why: String| Fault { file: file.clone(), line, why };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return Report { faults: vec![fault(0, e.to_string())], ..Report::default() },
    };
    let (edge, mut faults) = read(&text);
    let mut faults: Vec<Fault> = faults.drain(..).map(|(line, why)| fault(line, why)).collect();
    let mut report = Report::default();
    // The inventory's name may be readable in a file that is otherwise faulty.
    let inventory = edge.as_ref().map(|e| e.inventory.clone()).or_else(|| named_inventory(&text));
    if let Some(inventory) = inventory {
        let place = path.parent().unwrap_or(Path::new("")).join(inventory);
        match read_file_with_all_errors(&place) {
            Ok(servers) => {
                let edge = edge.as_ref();
                let shards: std::collections::BTreeSet<_> = servers.iter().flat_map(|s| &s.shards).collect();
                for told in edge.map(|e| e.collections.as_slice()).unwrap_or_default() {
                    if shards.iter().all(|s| s.collection != told.id) {
                        let at = line_with(&text, &format!("\"{}\"", told.id));
                        faults.push(fault(at, format!("collection {:?}: no server holds it", told.id)));
                    }
                }
                report.summary = format!(
                    "{file} is sound: {} servers, {} shards, {} classes",
                    servers.len(),
                    shards.len(),
                    edge.map_or(0, |e| e.classes.len())
                );
            }
            Err(all) => faults.extend(all.into_iter().map(|e| {
                let why = e.message();
                Fault { file: e.file, line: e.line, why }
            })),
        }
    }
    faults.truncate(MAX_FAULTS);
    Report { faults, ..report }
}

/// The settings of a text, if it can be read at all, and its faults. A reader stops at the first fault; what it
/// complains of is mended and all read again, so that one run tells them all.
fn read(text: &str) -> (Option<EdgeConfig>, Vec<(usize, String)>) {
    let mut left = text.to_owned();
    let mut faults: Vec<(usize, String)> = Vec::new();
    while faults.len() < MAX_FAULTS {
        match toml::from_str::<EdgeConfig>(&left) {
            Ok(edge) => {
                // Values that were put in for faulty ones are none of the file's.
                let told: Vec<usize> = faults.iter().map(|f| f.0).collect();
                let of_values = edge
                    .validate()
                    .into_iter()
                    .map(|issue| (line_with(text, &issue.anchor), issue.error.to_string()));
                faults.extend(of_values.filter(|f| !told.contains(&f.0)));
                faults.sort();
                return (faults.is_empty().then_some(edge), faults);
            }
            Err(e) => {
                let why = e.message().to_owned();
                let span = e.span().unwrap_or(0..0);
                let line = line_at(&left, &span);
                faults.push((line, why.clone()));
                // What is missing can't be blanked; an unfinished table hides the rest.
                if span.is_empty() || why.starts_with("missing field") || !mend(&mut left, line) {
                    break;
                }
            }
        }
    }
    faults.sort();
    (None, faults)
}

/// Gives a faulty line a value that can be read, or blanks it, so that what stands after it is read too. False: that
/// changes nothing.
fn mend(text: &mut String, line: usize) -> bool {
    let start: usize = text.split_inclusive('\n').take(line - 1).map(str::len).sum();
    let end = text[start..].find('\n').map_or(text.len(), |n| start + n);
    let before = text[start..end].to_owned();
    let still = |text: &str| match toml::from_str::<EdgeConfig>(text) {
        Ok(_) => false,
        Err(e) => line_at(text, &e.span().unwrap_or(0..0)) == line,
    };
    if let Some((key, _)) = before.split_once('=') {
        for value in ["1", "1.0", "\"x\"", "\"127.0.0.1:0\"", "true", "[]"] {
            text.replace_range(
                start..start + text[start..].find('\n').unwrap_or(text.len() - start),
                &format!("{key}={value}"),
            );
            if !still(text) {
                return true;
            }
        }
    }
    let now = start + text[start..].find('\n').unwrap_or(text.len() - start);
    text.replace_range(start..now, "");
    !before.trim().is_empty()
}

/// The line in which a stretch of a text begins, from 1.
fn line_at(text: &str, span: &std::ops::Range<usize>) -> usize {
    text[..span.start.min(text.len())].matches('\n').count() + 1
}

/// The first line that holds this outside of a comment; 1 if none does.
fn line_with(text: &str, what: &str) -> usize {
    let holds = |l: &str| l.split('#').next().unwrap_or_default().contains(what);
    text.lines().position(holds).map_or(1, |n| n + 1)
}

fn named_inventory(text: &str) -> Option<std::path::PathBuf> {
    let table: toml::Table = text.parse().ok()?;
    table.get("inventory")?.as_str().map(Into::into)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_is_told_with_its_line() {
        let text =
            "listen = \"nowhere\"\ninventory = \"i.csv\"\nattempts = \"four\"\n[[class]]\nname = \"map\"\n\
            aim_ms = 2000\ndeadline_ms = 1000\ncolour = 1\n";
        let (edge, faults) = read(text);
        assert!(edge.is_none());
        let lines: Vec<_> = faults.iter().map(|f| f.0).collect();
        assert_eq!(lines, [1, 3, 5, 8]);
        let sound =
            "listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\npage_size = 0\n[[class]]\nname = \"map\"\n\
            aim_ms = 2000\ndeadline_ms = 1000\nfloor = 2.0\n";
        let (edge, faults) = read(sound);
        assert!(edge.is_none());
        let lines: Vec<_> = faults.iter().map(|f| f.0).collect();
        assert_eq!(lines, [3, 5, 5]);
    }

    #[test]
    fn the_files_that_ship_are_sound() {
        let report = edge_file(Path::new("deploy/edge.toml"));
        assert_eq!(report.faults, []);
        assert_eq!(report.summary, "edge.toml is sound: 3 servers, 2 shards, 3 classes");
    }
}
