//! Checks of names, path prefixes and methods.

use super::field_problem;
use crate::answers::Problem;

/// Maximum length of a name, equal to that of a DNS label.
const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a path prefix.
const MAX_PREFIX_BYTES: usize = 1024;

/// Checks the name of a mesh, tenant, service or route, and returns the problem at `field` if there
/// is one.
///
/// Names appear in metrics, in URLs of the operator API and in field paths, so characters with a
/// special meaning there are not allowed.
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

/// Checks the name of a version. It may contain upper-case letters, dots and underscores, unlike
/// other names.
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

/// Checks a path prefix. Only the canonical form is accepted, so that prefixes are equal exactly if
/// their texts are.
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

/// Returns whether `method` is a valid method in upper case that can be forwarded. `CONNECT` and
/// `TRACE` cannot.
pub fn is_forwardable_method(method: &str) -> bool {
    has_valid_length(method)
        && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-')
        && !matches!(method, "CONNECT" | "TRACE")
}

fn has_valid_length(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
