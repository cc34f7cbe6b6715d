use super::*;

/// Guards against a stored answer whose status is invalid that is returned to a resend.
#[test]
fn decode_invalid_status() {
    for (status, is_valid) in [
        (0, false),
        (199, false),
        (200, true),
        (599, true),
        (600, false),
    ] {
        let answer = Answer {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        };
        let encoded = codec::encode(&answer).expect("the answer is encoded");
        let expected = is_valid.then_some(answer).ok_or(codec_failure());
        assert_eq!(decode(&encoded), expected, "{status}");
    }
}
