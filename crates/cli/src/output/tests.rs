#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;

use super::*;

fn printed(rows: &[[String; 2]]) -> String {
    let mut out = Vec::new();
    table(&mut out, rows).unwrap();
    String::from_utf8(out).unwrap()
}

/// Guards against a table that widens or a command that panics because of one odd name, and against
/// names that control the terminal. Formatting to a width of 65,536 characters or more panics.
#[rstest]
#[case::short("orders", "orders  v1\n")]
#[case::control("or\u{1b}[2Jders\n", "or\u{fffd}[2Jders\u{fffd}  v1\n")]
#[case::long(&"x".repeat(2_000_000), &format!("{}…  v1\n", "x".repeat(63)))]
#[case::longest_whole(&"x".repeat(64), &format!("{}  v1\n", "x".repeat(64)))]
fn table_cell(#[case] cell: &str, #[case] expected: &str) {
    assert_eq!(printed(&[[cell.to_owned(), "v1".to_owned()]]), expected);
}
