//! Tests of the errors of edge files.

use super::super::{EdgeConfig, EdgeConfigError, ValueError};
use super::{parse, EVERY_KEY, REQUIRED_KEYS};
use std::path::Path;

fn syntax_error(text: &str) -> String {
    toml::from_str::<EdgeConfig>(text)
        .expect_err("not an edge file")
        .message()
        .to_owned()
}

#[test]
fn unknown_keys_and_wrong_types_have_the_messages_of_earlier_versions() {
    let unknown = syntax_error(&format!("most_hold = 1\n{REQUIRED_KEYS}"));
    assert!(
        unknown.starts_with(
            "unknown field `most_hold`, expected one of `listen`, `mgmt`, `inventory`,"
        ),
        "{unknown}"
    );
    let without = |key: &str| {
        let lines = REQUIRED_KEYS.lines().filter(|line| !line.starts_with(key));
        syntax_error(&lines.collect::<Vec<_>>().join("\n"))
    };
    assert_eq!(without("aim_ms"), "missing field `aim_ms`");
    for (line, expected) in [
        ("limits = 1", "struct Limits"),
        ("warm_up = 1", "struct WarmUp"),
        ("collection = [1]", "struct Collection"),
    ] {
        let text = syntax_error(&format!("{line}\n{REQUIRED_KEYS}"));
        assert_eq!(
            text,
            format!("invalid type: integer `1`, expected {expected}")
        );
    }
    let class = syntax_error("listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\nclass = [1]\n");
    assert_eq!(
        class,
        "invalid type: integer `1`, expected struct EdgeClass"
    );
}

/// A line of [`EVERY_KEY`] whose value is put out of range, and the expected error.
struct OutOfRange {
    line: &'static str,
    replacement: &'static str,
    /// Anchor and message of the only issue that is expected.
    issue: &'static str,
}

const OUT_OF_RANGE: &[OutOfRange] = &[
    OutOfRange {
        line: "name = \"map\"",
        replacement: "name = \"\"",
        issue: "\"\": class \"\": its name is empty",
    },
    OutOfRange {
        line: "aim_ms = 2000",
        replacement: "aim_ms = 0",
        issue: "\"map\": class \"map\": aim_ms must be above 0 and at most deadline_ms",
    },
    OutOfRange {
        line: "deadline_ms = 6000",
        replacement: "deadline_ms = 1",
        issue: "\"map\": class \"map\": aim_ms must be above 0 and at most deadline_ms",
    },
    OutOfRange {
        line: "floor = 0.8",
        replacement: "floor = 1.1",
        issue: "\"map\": class \"map\": floor must be above 0 and at most 1",
    },
    OutOfRange {
        line: "effect = \"unsafe\"",
        replacement: "effect = \"x\"",
        issue: "\"map\": class \"map\": effect must be safe or unsafe",
    },
    OutOfRange {
        line: "volts = \"number\"",
        replacement: "volts = \"x\"",
        issue: "volts: collection \"devices\": queryable \"volts\" is of no kind that is known",
    },
    OutOfRange {
        line: "mode = \"fixed\"",
        replacement: "mode = \"x\"",
        issue: "mode: limits: mode must be adaptive or fixed",
    },
    OutOfRange {
        line: "least = 3",
        replacement: "least = 10",
        issue: "least: limits: least must be above 0 and at most start",
    },
    OutOfRange {
        line: "repeats = 0.5",
        replacement: "repeats = 10.5",
        issue: "repeats: limits: repeats must be from 0 to 10",
    },
    OutOfRange {
        line: "0e0f\"",
        replacement: "0e\"",
        issue: "cursor_key: cursor_key must be 32 hexadecimal digits or more, an even number",
    },
    OutOfRange {
        line: "page_size = 501",
        replacement: "page_size = 0",
        issue: "page_size: page_size must be above 0",
    },
    OutOfRange {
        line: "attempts = 3",
        replacement: "attempts = 0",
        issue: "attempts: attempts must be above 0",
    },
];

#[test]
fn each_value_out_of_range_has_its_error_and_message() {
    for case in OUT_OF_RANGE {
        let text = EVERY_KEY.replacen(case.line, case.replacement, 1);
        assert_ne!(text, EVERY_KEY, "{}", case.line);
        let issues: Vec<_> = parse(&text)
            .validate()
            .iter()
            .map(|issue| format!("{}: {}", issue.anchor, issue.error))
            .collect();
        assert_eq!(issues, [case.issue], "{}", case.replacement);
    }
}

#[test]
fn class_names_are_unique_and_one_class_is_required() {
    let mut edge = parse(EVERY_KEY);
    edge.classes.push(edge.classes[0].clone());
    assert_eq!(
        edge.validate()[0].error.to_string(),
        "class \"map\": is there twice"
    );
    edge.classes.clear();
    assert!(matches!(edge.validate()[0].error, ValueError::NoClass));
    assert_eq!(
        edge.validate()[0].error.to_string(),
        "a [[class]] is needed"
    );
}

#[test]
fn error_messages_of_a_file_start_with_its_path() {
    let missing =
        EdgeConfig::load(Path::new("deploy/none.toml")).expect_err("the file does not exist");
    assert!(matches!(missing, EdgeConfigError::Io { .. }));
    assert!(
        missing.to_string().starts_with("deploy/none.toml: "),
        "{missing}"
    );
    let other = EdgeConfig::load(Path::new("Cargo.toml")).expect_err("not an edge file");
    assert!(matches!(other, EdgeConfigError::Syntax { .. }));
    assert!(
        other
            .to_string()
            .starts_with("Cargo.toml: TOML parse error at line "),
        "{other}"
    );
}
