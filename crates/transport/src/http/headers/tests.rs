use rstest::rstest;

use super::*;

/// Guards against forwarding hop-by-hop headers, and against dropping other headers.
#[test]
fn remove_hop_by_hop_named() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Private"),
        ("connection", "host,content-length, ,"),
        ("x-private", "1"),
        ("x-public", "2"),
        ("host", "a"),
        ("content-length", "3"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "websocket"),
    ] {
        let name = HeaderName::from_static(name);
        headers.append(name, HeaderValue::from_static(value));
    }
    remove_hop_by_hop(&mut headers);
    let mut names: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["content-length", "host", "x-public"]);
}

/// Guards against headers that are altered by the conversion to a call message and back.
#[test]
fn to_call_round_trip() {
    let mut headers = HeaderMap::new();
    headers.append("set-cookie", HeaderValue::from_static("a=1"));
    headers.append("set-cookie", HeaderValue::from_static("b=2"));
    headers.append("x", HeaderValue::from_bytes(b"\xff\t").unwrap());
    assert_eq!(from_call_headers(to_call_headers(&headers)), Some(headers));
}

/// Guards against header injection by the peer of a call link.
#[rstest]
#[case("x", b"a\r\ny: b")]
#[case("x", b"a\0")]
#[case("x\r\ny", b"a")]
#[case("", b"a")]
fn from_call_injection(#[case] name: &str, #[case] value: &[u8]) {
    let headers = vec![(name.to_owned(), ByteBuf::from(value))];
    assert_eq!(from_call_headers(headers), None);
}
