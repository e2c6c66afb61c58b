//! Tests of `quinceflow check`.

use super::check_edge_file;
use super::recovery::parse_with_recovery;
use std::path::Path;

/// An edge file with an invalid address, a wrong type, a value out of range, and an unknown key.
const MALFORMED: &str = r#"listen = "nowhere"
inventory = "i.csv"
attempts = "four"
[[class]]
name = "map"
aim_ms = 2000
deadline_ms = 1000
colour = 1
"#;

/// A well-formed edge file with three values out of range.
const OUT_OF_RANGE: &str = r#"listen = "127.0.0.1:0"
inventory = "i.csv"
page_size = 0
[[class]]
name = "map"
aim_ms = 2000
deadline_ms = 1000
floor = 2.0
"#;

/// Returns the lines of the faults of a faulty edge file.
fn faulty_lines(text: &str) -> Vec<usize> {
    let recovered = parse_with_recovery(text);
    assert!(recovered.edge.is_none());
    recovered.faults.iter().map(|fault| fault.line).collect()
}

#[test]
fn every_fault_is_reported_with_its_line() {
    assert_eq!(faulty_lines(MALFORMED), [1, 3, 5, 8]);
    assert_eq!(faulty_lines(OUT_OF_RANGE), [3, 5, 5]);
}

#[test]
fn the_files_in_deploy_have_no_faults() {
    let report = check_edge_file(Path::new("deploy/edge.toml"));
    assert_eq!(report.faults, []);
    assert_eq!(
        report.summary,
        "edge.toml is sound: 3 servers, 2 shards, 3 classes"
    );
}
