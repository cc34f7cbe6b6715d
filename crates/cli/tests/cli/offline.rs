use std::fs;

use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

use crate::{run_quiet, run_with};

/// Answers to the questions of `init`, some of which must be asked again.
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

// Guards against a file of the user being overwritten without being asked.
#[test]
fn init_existing_file() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    assert_eq!(run_quiet(&["init", "--template", &file]).code, 0);
    fs::write(&file, "mine").unwrap();
    let ran = run_quiet(&["init", "--template", &file]);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.err.contains("--force"), "{ran:?}");
    assert_eq!(fs::read_to_string(&file).unwrap(), "mine");
    assert_eq!(run_quiet(&["init", "--template", "--force", &file]).code, 0);
    assert_eq!(run_quiet(&["check", &file]).code, 0);
}

// Guards against questions whose answers make an invalid file, and against bad answers that are
// not asked for again.
#[test]
fn init_questions() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    let ran = run_with(&["init", &file], INPUT);
    assert_eq!(ran.code, 0, "{ran:?}");
    let ran = run_quiet(&["check", "--json", &file]);
    assert_eq!(ran.code, 0, "{ran:?}");
    let checked: Value = serde_json::from_str(&ran.out).unwrap();
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

// Guards against a partly answered questionnaire that leaves a file, and against a command that
// waits for answers where nobody can give them.
#[test]
fn init_input_ends() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    assert_eq!(run_with(&["init", &file], "sfax\n").code, 1);
    assert_eq!(run_quiet(&["init", &file]).code, 2);
    assert!(!dir.path().join("answers.toml").exists());
}

// Guards against scripts that cannot tell invalid answers from other failures.
#[test]
fn check_exit_codes() {
    let dir = TempDir::new().unwrap();
    let file = path(&dir, "answers.toml");
    assert_eq!(run_quiet(&["check", &file]).code, 1);
    fs::write(&file, "mesh = 1\nmash = 2\n").unwrap();
    let ran = run_quiet(&["check", &file]);
    assert_eq!(ran.code, 4, "{ran:?}");
    assert!(ran.out.contains("answers.toml:1: mesh: "), "{ran:?}");
    assert!(ran.out.contains("answers.toml:2: mash: "), "{ran:?}");
    let ran = run_quiet(&["check", "--json", &file]);
    let problems: Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(problems["problems"][1]["line"], 2);
}

// Guards against a usage error that looks like a failure of the operation.
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
    let ran = run_quiet(args);
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(ran.err.starts_with("error: "), "{ran:?}");
}

// Guards against exit codes that are not documented.
#[rstest]
#[case(&["--help"])]
#[case(&["approve", "--help"])]
#[case(&["watch", "--help"])]
fn help_lists_exit_codes(#[case] args: &[&str]) {
    let ran = run_quiet(args);
    assert_eq!(ran.code, 0, "{ran:?}");
    for code in ["0  success", "3  conflict", "6  the watched rollout"] {
        assert!(ran.out.contains(code), "{}", ran.out);
    }
}

// Guards against a help text that loses its end: bpaf prints only what precedes a blank line.
#[test]
fn help_complete() {
    let ran = run_quiet(&["--help"]);
    assert_eq!(ran.code, 0, "{ran:?}");
    for expected in [
        "init --template",
        "--token-file",
        "Exit codes",
        "docs/commands.md",
    ] {
        assert!(ran.out.contains(expected), "{expected}: {ran:?}");
    }
}
