use std::fs;

use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

use crate::{run_with_input, run_without_terminal};

/// Answers to the questions of `init`. Some are invalid and followed by a valid one.
const INPUT: &str = "Bad Name\nsfax\n\
    grocers, grocers\ngrocers, exporters\n0\n3\n\n\
    \norders, catalogue\n\
    v 1\nv2\nstock\ncatalogue\nsoon\n1h\n101\n0.5\n\
    \n\n\n\n\
    orders\n/blend\n0s\n250ms\n\
    \n\n";

fn path(dir: &TempDir, name: &str) -> String {
    dir.path().join(name).to_str().unwrap().to_owned()
}

// Guards against overwriting an existing file without `--force`.
#[test]
fn init_existing_file() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    assert_eq!(run_without_terminal(&["init", "--template", &file]).code, 0);
    fs::write(&file, "mine").unwrap();
    let output = run_without_terminal(&["init", "--template", &file]);
    assert_eq!(output.code, 1, "{output:?}");
    assert!(output.stderr.contains("--force"), "{output:?}");
    assert_eq!(fs::read_to_string(&file).unwrap(), "mine");
    assert_eq!(
        run_without_terminal(&["init", "--template", "--force", &file]).code,
        0
    );
    assert_eq!(run_without_terminal(&["check", &file]).code, 0);
}

// Guards against accepted answers that result in an invalid file, and against invalid answers that
// are not asked for again.
#[test]
fn init_questions() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    let output = run_with_input(&["init", &file], INPUT);
    assert_eq!(output.code, 0, "{output:?}");
    let output = run_without_terminal(&["check", "--json", &file]);
    assert_eq!(output.code, 0, "{output:?}");
    let checked: Value = serde_json::from_str(&output.stdout).unwrap();
    let cfg = &checked["config"];
    assert_eq!(cfg["tenants"]["grocers"]["weight"], 3);
    assert_eq!(cfg["services"]["orders"]["version"], "v2");
    assert_eq!(cfg["services"]["orders"]["callers"][0], "catalogue");
    assert_eq!(
        cfg["services"]["orders"]["rollout"]["max-extra-failures"],
        5000
    );
    assert_eq!(cfg["services"]["catalogue"]["version"], "v1");
    assert_eq!(cfg["routes"]["orders"]["prefix"], "/blend");
    assert_eq!(cfg["routes"]["orders"]["timeout"], 250);
}

// Guards against writing a file from an incomplete questionnaire, and against asking questions when
// standard input is not a terminal.
#[test]
fn init_input_ends() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    assert_eq!(run_with_input(&["init", &file], "sfax\n").code, 1);
    assert_eq!(run_without_terminal(&["init", &file]).code, 2);
    assert!(!dir.path().join("answers.toml").exists());
}

// Guards against an exit code for invalid answers that scripts can't distinguish from other
// failures.
#[test]
fn check_exit_codes() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    assert_eq!(run_without_terminal(&["check", &file]).code, 1);
    fs::write(&file, "mesh = 1\nmash = 2\n").unwrap();
    let output = run_without_terminal(&["check", &file]);
    assert_eq!(output.code, 4, "{output:?}");
    assert!(
        output.stdout.contains("answers.toml:1: mesh: "),
        "{output:?}"
    );
    assert!(
        output.stdout.contains("answers.toml:2: mash: "),
        "{output:?}"
    );
    let output = run_without_terminal(&["check", "--json", &file]);
    let problems: Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(problems["problems"][1]["line"], 2);
}

// Guards against usage errors that are reported with the exit code of another failure.
#[rstest]
#[case(&[])]
#[case(&["approved"])]
#[case(&["check"])]
#[case(&["status"])]
#[case(&["status", "--address", "localhost"])]
#[case(&["status", "--address", "127.0.0.1:1"])]
#[case(&["approve", "--address", "127.0.0.1:1", "--base", "x", "f"])]
#[case(&["approve", "--address", "127.0.0.1:1", "--request-id", "a b", "f"])]
fn usage_error(#[case] args: &[&str]) {
    let output = run_without_terminal(args);
    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.stderr.starts_with("error: "), "{output:?}");
}

// Guards against a help text that lacks the exit codes.
#[rstest]
#[case(&["--help"])]
#[case(&["approve", "--help"])]
#[case(&["watch", "--help"])]
fn help_lists_exit_codes(#[case] args: &[&str]) {
    let output = run_without_terminal(args);
    assert_eq!(output.code, 0, "{output:?}");
    for code in ["0  success", "3  conflict", "6  the watched rollout"] {
        assert!(output.stdout.contains(code), "{}", output.stdout);
    }
}

// Guards against a truncated help text: bpaf prints a footer only up to the first blank line.
#[test]
fn help_complete() {
    let output = run_without_terminal(&["--help"]);
    assert_eq!(output.code, 0, "{output:?}");
    for expected in [
        "init --template",
        "--token-file",
        "Exit codes",
        "docs/commands.md",
    ] {
        assert!(output.stdout.contains(expected), "{expected}: {output:?}");
    }
}
