//! Rules for names, path prefixes and methods.

use super::field_problem;
use crate::answers::Problem;

/// Longest name, that of a label in the domain name system.
const MAX_NAME_BYTES: usize = 63;
/// Longest path prefix.
const MAX_PREFIX_BYTES: usize = 1024;

/// Checks the name of a mesh, tenant, service or route. Names appear in metrics, in paths of the
/// operator interface and in field paths, so they contain no characters with a meaning there.
pub fn check_name(field: &str, name: &str) -> Option<Problem> {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let valid = has_valid_length(name)
        && name.bytes().all(allowed)
        && !name.starts_with('-')
        && !name.ends_with('-');
    (!valid).then(|| {
        field_problem(
            field.to_owned(),
            format!("{name:?} is not a name"),
            "use 1 to 63 of a-z, 0-9 and -, with no - at either end",
        )
    })
}

/// Checks the name of a version.
pub fn check_version(field: &str, name: &str) -> Option<Problem> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    let valid = has_valid_length(name)
        && name.bytes().all(allowed)
        && name.starts_with(|c: char| c.is_ascii_alphanumeric());
    (!valid).then(|| {
        field_problem(
            field.to_owned(),
            format!("{name:?} is not a version"),
            "use 1 to 63 letters, digits, dots, underscores and dashes, the first a letter or digit",
        )
    })
}

/// Checks a path prefix. Only the canonical form is accepted, so that equal prefixes are equal
/// texts.
pub fn check_prefix(field: &str, prefix: &str) -> Option<Problem> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@/".contains(&b);
    let valid_segment = |segment: &str| !matches!(segment, "" | "." | "..");
    let valid = prefix.len() <= MAX_PREFIX_BYTES
        && prefix.bytes().all(allowed)
        && match prefix.strip_prefix('/') {
            Some("") => true,
            Some(rest) => rest.split('/').all(valid_segment),
            None => false,
        };
    (!valid).then(|| {
        field_problem(
            field.to_owned(),
            format!("{prefix:?} is not a path prefix"),
            "begin with /, end without one, and use no empty segments, escapes or queries",
        )
    })
}

/// Returns whether a route can accept `method`. `CONNECT` and `TRACE` are not forwarded.
pub fn is_forwardable_method(method: &str) -> bool {
    has_valid_length(method)
        && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-')
        && !matches!(method, "CONNECT" | "TRACE")
}

fn has_valid_length(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
