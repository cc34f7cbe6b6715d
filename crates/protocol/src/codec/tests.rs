use proptest::prelude::*;
use serde_bytes::ByteBuf;
use sycamoreflow_coordination::fingerprint::Fingerprint;

use super::*;
use crate::call::{CallReply, CallRequest};
use crate::handshake::{Challenge, Hello, Proof, Welcome};

/// Guards against encoding frames that the receiver would refuse.
#[test]
fn encode_above_bound() {
    let body = ByteBuf::from(vec![0; MAX_FRAME_BYTES]);
    assert_eq!(encode(&body), Err(CodecError::TooLarge));
}

/// Guards against ignoring a second message that follows the first in a frame.
#[test]
fn decode_trailing_bytes() {
    assert_eq!(decode::<u8>(&[1, 2]), Err(CodecError::TrailingBytes));
}

/// Guards against allocating a declared length: the first frame declares 4 GiB and contains none of
/// it, the second declares 2^40 numbers.
#[test]
fn decode_claimed_length() {
    let frame = [0x5a, 0xff, 0xff, 0xff, 0xff];
    assert_eq!(decode::<ByteBuf>(&frame), Err(CodecError::Truncated));
    let frame = [0x9b, 0, 0, 1, 0, 0, 0, 0, 0];
    assert_eq!(decode::<Vec<u64>>(&frame), Err(CodecError::Truncated));
}

/// Guards against exhausting the stack by deeply nested arrays, including those in ignored fields.
#[test]
fn decode_deep_nesting() {
    let frame = vec![0x81; 1_000_000];
    assert!(decode::<serde::de::IgnoredAny>(&frame).is_err());
    assert!(decode::<ciborium::Value>(&frame).is_err());
}

proptest! {
    /// Guards against panics on arbitrary bytes from a faulty or malicious peer.
    #[test]
    fn decode_arbitrary_bytes(frame in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode::<CallRequest>(&frame);
        let _ = decode::<CallReply>(&frame);
        let _ = decode::<Hello>(&frame);
        let _ = decode::<Challenge>(&frame);
        let _ = decode::<Proof>(&frame);
        let _ = decode::<Welcome>(&frame);
        let _ = decode::<ciborium::Value>(&frame);
    }
}

/// Returns a frame with a call whose optional fields are set, except for the caller.
fn call_frame() -> Vec<u8> {
    let call = crate::call::Call {
        id: 1,
        remaining_ms: 250,
        service: "orders".into(),
        version: "v2".into(),
        route: "blend".into(),
        tenant: "grocers".into(),
        attempt: 1,
        key: Some("key".into()),
        fingerprint: Some(Fingerprint::of(&"t".into(), "GET", "/", b"")),
        urgency: Default::default(),
        caller: None,
        head: crate::call::RequestHead {
            method: "POST".into(),
            path_and_query: "/orders".into(),
            headers: vec![("x-lot".into(), ByteBuf::from(vec![0x41]))],
        },
        body: vec![1, 2, 3],
    };
    encode(&CallRequest::Call(Box::new(call))).unwrap()
}

proptest! {
    /// Guards against accepting truncated frames, and against panics on corrupted ones. Nearly
    /// valid frames reach more of the decoder than arbitrary bytes.
    #[test]
    fn decode_altered_frame(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        length in any::<prop::sample::Index>(),
    ) {
        let mut frame = call_frame();
        let length = length.index(frame.len());
        prop_assert!(decode::<CallRequest>(&frame[..length]).is_err());
        for (index, byte) in changes {
            let index = index.index(frame.len());
            frame[index] = byte;
        }
        let _ = decode::<CallRequest>(&frame);
    }
}
