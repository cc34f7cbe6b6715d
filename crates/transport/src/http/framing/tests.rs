use proptest::prelude::*;
use rstest::rstest;

use super::*;

const LIMITS: FramingLimits = FramingLimits {
    max_head_bytes: 256,
    max_headers: 8,
    max_body_bytes: 100,
};

fn push(bytes: &[u8]) -> (usize, Option<Violation>, Position) {
    let mut framing = RequestFraming::new(LIMITS);
    let (accepted, violation) = framing.push(bytes);
    (accepted, violation, framing.position())
}

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against rejecting valid requests, and against missing the end of a request.
#[rstest]
#[case::no_body("")]
#[case::length("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc")]
#[case::same_length_twice(
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc"
)]
#[case::chunked(
    "POST / HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: Chunked\r\n\r\n3;a=b\r\nabc\r\nA\r\n0123456789\r\n0\r\nx: y\r\n\r\n"
)]
#[case::http_10("GET / HTTP/1.0\r\n\r\n")]
#[case::leading_line("\r\n")]
fn push_valid(#[case] first: &str, #[values(1, 7, 1000)] step: usize) {
    let bytes = [first.as_bytes(), GET.as_bytes()].concat();
    let mut framing = RequestFraming::new(LIMITS);
    for part in bytes.chunks(step) {
        assert_eq!(framing.push(part), (part.len(), None));
    }
    assert_eq!(framing.position(), Position::BetweenRequests);
}

/// Guards against request smuggling: every ambiguous or malformed head must be rejected.
#[rstest]
#[case::two_lengths("content-length: 3\r\ncontent-length: 4\r\n")]
#[case::length_list("content-length: 3, 3\r\n")]
#[case::length_sign("content-length: +5\r\n")]
#[case::length_negative("content-length: -5\r\n")]
#[case::length_empty("content-length:\r\n")]
#[case::length_overflow("content-length: 99999999999999999999\r\n")]
#[case::both("content-length: 3\r\ntransfer-encoding: chunked\r\n")]
#[case::both_reversed("transfer-encoding: chunked\r\ncontent-length: 3\r\n")]
#[case::two_codings("transfer-encoding: gzip, chunked\r\n")]
#[case::chunked_twice("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n")]
#[case::identity("transfer-encoding: identity\r\n")]
#[case::space_before_colon("content-length : 3\r\n")]
#[case::folded("x: a\r\n b\r\n")]
#[case::bare_line_feed("x: a\n")]
#[case::bare_carriage_return("x: a\rb\r\n")]
#[case::control_character("x: a\x01b\r\n")]
#[case::null("x: a\0b\r\n")]
#[case::two_hosts("host: b\r\n")]
fn push_ambiguous(#[case] header: &str) {
    let request = format!("POST / HTTP/1.1\r\nhost: a\r\n{header}\r\n");
    let (_, violation, _) = push(request.as_bytes());
    assert_eq!(violation, Some(Violation::Malformed));
}

/// Guards against malformed chunks, which HTTP implementations interpret differently.
#[rstest]
#[case::no_size("\r\nabc")]
#[case::sign("+3\r\nabc\r\n")]
#[case::bare_line_feed("3\nabc\r\n")]
#[case::long_data("3\r\nabcd\r\n")]
#[case::extension_line_feed("3;a\nabc\r\n")]
#[case::size_overflow("11111111111111111\r\n")]
#[case::trailer_line_feed("0\r\nx: y\n\r\n")]
fn push_bad_chunk(#[case] body: &str) {
    let request = format!("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{body}");
    let (_, violation, _) = push(request.as_bytes());
    assert_eq!(violation, Some(Violation::Malformed));
}

/// Guards against requests that exceed the size limits.
#[rstest]
#[case::head_bytes(format!("GET /{} HTTP/1.1\r\n", "a".repeat(300)), Violation::HeadTooLarge)]
#[case::head_without_end("a".repeat(300), Violation::HeadTooLarge)]
#[case::headers(format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(9)), Violation::HeadTooLarge)]
#[case::length("PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n".into(), Violation::BodyTooLarge)]
#[case::chunks(
    format!("PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{}", "a\r\n0123456789\r\n".repeat(11)),
    Violation::BodyTooLarge
)]
fn push_oversized(#[case] request: String, #[case] expected: Violation) {
    assert_eq!(push(request.as_bytes()).1, Some(expected));
}

/// Guards against a body within its limit that is refused for the size of its chunks, and against
/// chunk extensions without end.
#[rstest]
#[case::one_byte_chunks("1\r\nx\r\n", 40_000, None)]
#[case::padded_sizes("00000001\r\nx\r\n", 40_000, None)]
#[case::long_extensions(
    "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n",
    40_000,
    Some(Violation::BodyTooLarge)
)]
fn push_small_chunks(
    #[case] chunk: &str,
    #[case] count: usize,
    #[case] expected: Option<Violation>,
) {
    let limits = FramingLimits {
        max_body_bytes: 50_000,
        ..LIMITS
    };
    let mut framing = RequestFraming::new(limits);
    framing.push(b"PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    let mut chunks = (0..count).map(|_| framing.push(chunk.as_bytes()).1);
    assert_eq!(chunks.find_map(|violation| violation), expected);
}

/// Guards against accepting bytes of a rejected request, and against losing a valid request that
/// precedes it in the same read.
#[test]
fn push_bad_after_good() {
    let bytes = format!("{GET}GET / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n");
    let (accepted, violation, _) = push(bytes.as_bytes());
    assert_eq!(
        (accepted, violation),
        (GET.len(), Some(Violation::Malformed))
    );
}

proptest! {
    /// Guards against panics, and against results that depend on how the bytes are split into
    /// reads.
    #[test]
    fn push_arbitrary_bytes(
        bytes in proptest::collection::vec(
            prop_oneof![Just(b'\r'), Just(b'\n'), Just(b'0'), Just(b':'), any::<u8>()], 0..300),
        chunked in any::<bool>(),
        split in 1_usize..40,
    ) {
        let head: &[u8] = match chunked {
            true => b"PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
            false => b"",
        };
        let bytes = [head, &bytes].concat();
        let (_, whole, _) = push(&bytes);
        let mut framing = RequestFraming::new(LIMITS);
        let parts = bytes.chunks(split).find_map(|part| framing.push(part).1);
        prop_assert_eq!(whole, parts);
    }
}
