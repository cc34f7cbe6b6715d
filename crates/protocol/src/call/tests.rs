use proptest::prelude::*;

use super::*;
use crate::codec::{decode, encode};

fn call(body: Vec<u8>, key: Option<String>) -> Call {
    Call {
        id: 7,
        remaining_ms: 250,
        service: "orders".into(),
        version: "v2".into(),
        route: "blend".into(),
        tenant: "grocers".into(),
        attempt: 1,
        key,
        fingerprint: Some(Fingerprint::of(&"t".into(), "GET", "/", b"")),
        urgency: Default::default(),
        caller: None,
        head: RequestHead {
            method: "POST".into(),
            path_and_query: "/orders?a=1".into(),
            headers: vec![("x-lot".into(), ByteBuf::from(vec![0xff, 0x41]))],
        },
        body,
    }
}

/// Guards against encoding bodies as arrays of numbers, which takes up to twice as many bytes.
#[test]
fn encode_body_as_bytes() {
    let with_body = encode(&call(vec![0xff; 10_000], None)).unwrap();
    let without = encode(&call(Vec::new(), None)).unwrap();
    assert_eq!(with_body.len(), without.len() + 10_000 + 2);
}

proptest! {
    /// Guards against an encoding that does not preserve the message.
    #[test]
    fn encode_round_trip(
        body in proptest::collection::vec(any::<u8>(), 0..5_000),
        key in proptest::option::of(".*"),
    ) {
        let request = CallRequest::Call(Box::new(call(body, key)));
        let frame = encode(&request).unwrap();
        prop_assert_eq!(decode::<CallRequest>(&frame).unwrap(), request);
    }
}
