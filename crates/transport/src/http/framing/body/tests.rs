use rstest::rstest;

use super::*;

/// Guards against a buffer that takes more memory than it reports, which clients could then make a
/// daemon hold beyond its account.
#[rstest]
fn extend_memory_reported(
    #[values(1, 1_000, 8_000, 40_000)] piece: usize,
    #[values(100, SEGMENT_BYTES, 100_000)] length: usize,
) {
    let mut body = BodyBuffer::default();
    for piece in vec![b'x'; length].chunks(piece) {
        let expected = body.held_bytes() + body.growth(piece.len());
        body.extend_from_slice(piece);
        let taken: usize = body.full.iter().map(BytesMut::capacity).sum();
        assert_eq!(body.held_bytes(), taken + body.last.capacity());
        assert!(body.held_bytes() <= expected);
    }
    assert_eq!(body.take().len(), length);
}
