use super::*;

/// Guards against a tenant without an account that is written differently than before accounts
/// existed: replicas of both releases must compute the same digest of a view, and read each
/// other's log.
#[test]
fn tenant_without_account() {
    let tenant = TenantConfig::with_weight(3);
    let text = serde_json::to_string(&tenant).expect("a tenant is written");
    assert_eq!(text, r#"{"weight":3}"#);
    let read: TenantConfig = serde_json::from_str(&text).expect("a tenant is read");
    assert_eq!(read, tenant);
}

/// Guards against a digest that shows up in a log line, and against equal digests of two keys.
#[test]
fn key_digest_debug() {
    let digest = KeyDigest::of(b"irth5mgjy5rcpihhacru");
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)");
    assert_ne!(digest, KeyDigest::of(b"irth5mgjy5rcpihhacrv"));
}
