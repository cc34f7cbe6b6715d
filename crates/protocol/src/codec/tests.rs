use proptest::prelude::*;
use serde_bytes::ByteBuf;
use sycamoreflow_coordination::fingerprint::Fingerprint;

use super::*;
use crate::call::{CallReply, CallRequest};
use crate::handshake::{Challenge, Hello, Proof, Welcome};

/// Guards against frames that the receiving link would refuse.
#[test]
fn encode_above_bound() {
    let body = ByteBuf::from(vec![0; MAX_FRAME_BYTES]);
    assert_eq!(encode(&body), Err(CodecError::TooLarge));
}

/// Guards against a second message smuggled behind the first.
#[test]
fn decode_trailing_bytes() {
    assert_eq!(decode::<u8>(&[1, 2]), Err(CodecError::TrailingBytes));
}

/// Guards against trusting a declared length: the frame claims 4 GiB and holds none of it.
#[test]
fn decode_claimed_length() {
    let frame = [0x5a, 0xff, 0xff, 0xff, 0xff];
    assert_eq!(decode::<ByteBuf>(&frame), Err(CodecError::Truncated));
    let frame = [0x9b, 0, 0, 1, 0, 0, 0, 0, 0];
    assert_eq!(decode::<Vec<u64>>(&frame), Err(CodecError::Truncated));
}

/// Guards against exhausting the stack with nested arrays, also in ignored fields.
#[test]
fn decode_deep_nesting() {
    let frame = vec![0x81; 1_000_000];
    assert!(decode::<serde::de::IgnoredAny>(&frame).is_err());
    assert!(decode::<ciborium::Value>(&frame).is_err());
}

proptest! {
    /// Guards against panics on bytes from a faulty or hostile peer.
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

/// A call with every field in use.
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
    /// Guards against panics and unbounded work on frames that are nearly valid, which reach
    /// further into decoding than arbitrary bytes do.
    #[test]
    fn decode_altered_frame(
        changes in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut frame = call_frame();
        let cut = cut.index(frame.len());
        prop_assert!(decode::<CallRequest>(&frame[..cut]).is_err());
        for (index, byte) in changes {
            let index = index.index(frame.len());
            frame[index] = byte;
        }
        let _ = decode::<CallRequest>(&frame);
    }
}
