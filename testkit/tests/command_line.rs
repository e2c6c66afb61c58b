//! Tests of the command line of the test kit.

use std::process::{Command, Output};

fn run_testkit(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_quinceflow-testkit"))
        .args(arguments)
        .output()
        .expect("the test kit starts")
}

#[test]
fn earlier_names_of_commands_and_options_are_accepted() {
    for arguments in [
        &["storm", "--plant", "twice", "--help"][..],
        &[
            "storm",
            "--plant",
            "limit",
            "--seconds",
            "1",
            "--seed",
            "1",
            "--help",
        ],
        &[
            "measure", "--beside", "program", "--name", "earlier", "--each", "5", "--help",
        ],
        &["conform", "http://127.0.0.1:1/", "--json", "file", "--help"],
    ] {
        let output = run_testkit(arguments);
        assert!(
            output.status.success(),
            "{arguments:?}: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    let unknown = run_testkit(&["storm", "--plant", "other", "--help"]);
    assert!(
        !unknown.status.success(),
        "an unknown value before --help is accepted"
    );
}

#[test]
fn errors_name_their_cause_and_exit_with_status_2() {
    for (url, message) in [
        ("no-url", "relative URL without a base"),
        ("data:text", "the URL has no host"),
        ("x://host/", "the URL has no port"),
    ] {
        let output = run_testkit(&["conformance", url]);
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{url}");
        assert_eq!(text.trim_end(), format!("quinceflow-testkit: {message}"));
    }
}
