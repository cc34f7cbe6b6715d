use rstest::rstest;

use super::{Secret, Settings};

/// Settings of a mesh with one daemon, which is its control replica.
pub(crate) const VALID: &str = r#"
mesh = "sfax"
daemon = "sfax-a-1"
data-centre = "sfax-a"

[listen]
calls = "127.0.0.1:8000"
link = "127.0.0.1:8001"
announce = "127.0.0.1:8002"
operator = "127.0.0.1:8003"

[[control-replicas]]
daemon = "sfax-a-1"
link = "127.0.0.1:8001"

[control]
data = "/var/lib/sycamoreflow"
voters = ["sfax-a-1"]
"#;

/// Guards against default limits that fail validation.
#[test]
fn parse_valid() {
    let settings = Settings::parse(VALID).expect("the settings are valid");
    assert_eq!(settings.limits.body_bytes, 1 << 20);
}

/// Guards against invalid settings that are accepted and fail only when the daemon runs.
#[rstest]
#[case::unknown_key("mesh = ", "mash = 1\nmesh = ", "mash")]
#[case::empty_mesh("mesh = \"sfax\"", "mesh = \"\"", "mesh")]
#[case::same_address("127.0.0.1:8002", "127.0.0.1:8001", "used twice")]
#[case::two_voters(
    "voters = [\"sfax-a-1\"]",
    "voters = [\"sfax-a-1\", \"b\"]",
    "2 voters"
)]
#[case::unknown_voter("voters = [\"sfax-a-1\"]", "voters = [\"b\"]", "b is not in")]
#[case::no_operator("operator = \"127.0.0.1:8003\"", "", "listen.operator")]
#[case::own_witness(
    "[control]",
    "[[floor.witnesses]]\ndaemon = \"sfax-a-1\"\nlink = \"127.0.0.1:1\"\n[control]",
    "own witness"
)]
#[case::zero_body(
    "[control]",
    "[limits]\nbody-bytes = 0\n[control]",
    "limits.body-bytes"
)]
fn parse_wrong(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = VALID.replacen(from, to, 1);
    assert_ne!(text, VALID, "the case changes nothing");
    let error = Settings::parse(&text).expect_err("the settings are wrong");
    let message = format!("{error:#}");
    assert!(message.contains(expected), "{message}");
}

/// Guards against an error that names only the first of several problems.
#[test]
fn parse_two_problems() {
    let text = VALID
        .replace("mesh = \"sfax\"", "mesh = \"\"")
        .replace("voters = [\"sfax-a-1\"]", "voters = []");
    let error = Settings::parse(&text).expect_err("the settings are wrong");
    let message = format!("{error:#}");
    assert!(
        message.contains("mesh") && message.contains("voters"),
        "{message}"
    );
}

/// Guards against a secret that is logged through its debug output.
#[test]
fn debug_secret() {
    let secret = Secret::new("correct horse battery staple\n");
    assert_eq!(format!("{secret:?}"), "Secret(..)");
    assert_eq!(secret.expose(), "correct horse battery staple");
}

/// Guards against an error for a missing secret file that does not say how to create it.
#[test]
fn mesh_key_no_file() {
    let text = VALID.replace("[listen]", "mesh-key-file = \"/nonexistent/key\"\n[listen]");
    let settings = Settings::parse(&text).expect("the settings are valid");
    let error = settings.mesh_key().expect_err("there is no such file");
    let message = format!("{error:#}");
    assert!(
        message.contains("mesh-key-file") && message.contains("docs/settings.md"),
        "{message}"
    );
}
