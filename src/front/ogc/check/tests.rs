//! Tests of `quinceflow check`.

use super::check_edge_file;
use super::recovery::parse_with_recovery;
use std::path::Path;

#[test]
fn every_fault_is_reported_with_its_line() {
    let text =
        "listen = \"nowhere\"\ninventory = \"i.csv\"\nattempts = \"four\"\n[[class]]\nname = \"map\"\n\
        aim_ms = 2000\ndeadline_ms = 1000\ncolour = 1\n";
    let (edge, faults) = parse_with_recovery(text);
    assert!(edge.is_none());
    let lines: Vec<_> = faults.iter().map(|f| f.line).collect();
    assert_eq!(lines, [1, 3, 5, 8]);
    let out_of_range =
        "listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\npage_size = 0\n[[class]]\nname = \"map\"\n\
        aim_ms = 2000\ndeadline_ms = 1000\nfloor = 2.0\n";
    let (edge, faults) = parse_with_recovery(out_of_range);
    assert!(edge.is_none());
    let lines: Vec<_> = faults.iter().map(|f| f.line).collect();
    assert_eq!(lines, [3, 5, 5]);
}

#[test]
fn the_shipped_files_have_no_fault() {
    let report = check_edge_file(Path::new("deploy/edge.toml"));
    assert_eq!(report.faults, []);
    assert_eq!(
        report.summary,
        "edge.toml is sound: 3 servers, 2 shards, 3 classes"
    );
}
