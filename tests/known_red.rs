//! The tests that CI ignores. The reason of each states that it is known to fail or run by hand, and
//! `KNOWN-RED.txt` has exactly one entry for each test that is known to fail.

use std::fs;
use std::path::{Path, PathBuf};

/// The list of the tests that are known to fail.
const LIST: &str = "KNOWN-RED.txt";
/// The directories with sources.
const SOURCE_DIRECTORIES: [&str; 3] = ["src", "tests", "testkit"];
/// The beginning of the reason of an ignored test that is known to fail.
const KNOWN_RED: &str = "known red";
/// The beginning of the reason of an ignored test that takes too long for CI.
const RUN_BY_HAND: &str = "run by hand";
/// The attribute of an ignored test, up to its reason.
const IGNORE_ATTRIBUTE: &str = "#[ignore";

/// An ignored test.
#[derive(Debug, PartialEq)]
struct IgnoredTest {
    /// The path of the test's file and its name, with which an entry of the list starts.
    id: String,
    /// The reason; empty if none is given.
    reason: String,
}

/// Returns the ignored tests of a source file.
fn ignored_tests(path: &str, source: &str) -> Vec<IgnoredTest> {
    let lines: Vec<&str> = source.lines().map(str::trim).collect();
    let is_ignored = |line: &&str| line.starts_with(IGNORE_ATTRIBUTE);
    let indexes = (0..lines.len()).filter(|index| is_ignored(&lines[*index]));
    let test = |index: usize| {
        let reason = lines[index].split('"').nth(1).unwrap_or_default();
        let function = lines[index..]
            .iter()
            .find_map(|line| line.strip_prefix("fn "));
        let name = function.and_then(|rest| rest.split('(').next());
        IgnoredTest {
            id: format!("{path} {}", name.expect("a function follows its attribute")),
            reason: reason.to_owned(),
        }
    };
    indexes.map(test).collect()
}

/// Returns the path and the name of the test in each entry of the list.
fn entries(list: &str) -> Vec<String> {
    let id = |line: &str| {
        let words = line.split([' ', ';']).filter(|word| !word.is_empty());
        words.take(2).collect::<Vec<_>>().join(" ")
    };
    list.lines()
        .filter(|line| !line.trim().is_empty())
        .map(id)
        .collect()
}

/// Returns the differences between the ignored tests and the list, and the invalid reasons.
fn problems(ignored: &[IgnoredTest], list: &str) -> Vec<String> {
    let entries = entries(list);
    let mut problems = Vec::new();
    for IgnoredTest { id, reason } in ignored {
        let known_red = reason.starts_with(KNOWN_RED);
        if !known_red && !reason.starts_with(RUN_BY_HAND) {
            problems.push(format!(
                "{id}: the reason is neither {KNOWN_RED} nor {RUN_BY_HAND}"
            ));
        }
        if known_red && !entries.contains(id) {
            problems.push(format!("{id}: {KNOWN_RED}, and not in {LIST}"));
        }
    }
    let is_known_red = |entry: &String| {
        ignored
            .iter()
            .any(|t| t.id == *entry && t.reason.starts_with(KNOWN_RED))
    };
    let stale = entries.iter().filter(|entry| !is_known_red(entry));
    problems.extend(stale.map(|entry| format!("{entry}: in {LIST}, and no {KNOWN_RED} test")));
    problems
}

/// Returns the Rust files below a directory.
fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("the directory is readable");
    let paths = entries.map(|entry| entry.expect("the entry is readable").path());
    let (directories, files): (Vec<_>, Vec<_>) = paths.partition(|path| path.is_dir());
    let is_rust = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "rs");
    let below = directories
        .iter()
        .flat_map(|directory| rust_files(directory));
    files.into_iter().filter(is_rust).chain(below).collect()
}

#[test]
fn the_known_red_tests_are_the_entries_of_the_list() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = SOURCE_DIRECTORIES
        .iter()
        .flat_map(|directory| rust_files(&root.join(directory)));
    let own = Path::new(file!()).file_name();
    let read = |path: PathBuf| {
        let source = fs::read_to_string(&path).expect("the file is text");
        let relative = path.strip_prefix(root).expect("the path is below the root");
        ignored_tests(relative.to_str().expect("the path is UTF-8"), &source)
    };
    let ignored: Vec<_> = files
        .filter(|path| path.file_name() != own)
        .flat_map(read)
        .collect();
    let list = fs::read_to_string(root.join(LIST)).unwrap_or_default();
    assert_eq!(problems(&ignored, &list), Vec::<String>::new());
}

/// A source file with a test of each kind.
const PLANTED: &str = "
    #[test]
    #[ignore = \"known red\"]
    fn fails() {}
    #[test]
    #[ignore = \"run by hand: minutes\"]
    fn takes_long() {}
";

#[test]
fn a_planted_entry_and_a_planted_test_are_found() {
    let ignored = ignored_tests("tests/a.rs", PLANTED);
    assert_eq!(ignored.len(), 2);
    let entry = "tests/a.rs fails; `a command`; no seed; what was seen; issue 1\n";
    assert_eq!(problems(&ignored, entry), Vec::<String>::new());

    let missing_entry = ["tests/a.rs fails: known red, and not in KNOWN-RED.txt"];
    assert_eq!(problems(&ignored, ""), missing_entry);
    let other = format!("{entry}tests/a.rs takes_long; `a command`; issue 2");
    let stale_entry = ["tests/a.rs takes_long: in KNOWN-RED.txt, and no known red test"];
    assert_eq!(problems(&ignored, &other), stale_entry);
}

#[test]
fn a_planted_reason_of_another_kind_is_found() {
    for attribute in ["#[ignore]", "#[ignore = \"flaky\"]"] {
        let source = PLANTED.replace("#[ignore = \"run by hand: minutes\"]", attribute);
        let ignored = ignored_tests("tests/a.rs", &source);
        let found = problems(&ignored, "tests/a.rs fails; `a command`; issue 1");
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(
            found[0].starts_with("tests/a.rs takes_long: the reason"),
            "{found:?}"
        );
    }
}
