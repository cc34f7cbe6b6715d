#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use super::*;

fn members(count: usize) -> FromReplica {
    let ids = (0..count).map(|index| format!("10.0.0.{index}:7400").into());
    FromReplica::Members(ids.collect())
}

/// Guards against messages that change on their way, or that aren't made shorter.
#[test]
fn pack_round_trip() {
    let message = members(500);
    let packed = message.clone().pack();
    let (long, short) = (
        codec::encode(&message).unwrap().len(),
        codec::encode(&packed).unwrap().len(),
    );
    assert!(short * 3 < long, "{short} of {long} bytes");
    assert_eq!(packed.unpack(), Ok(message));
}

/// Guards against work on messages that compression can't shorten by much.
#[test]
fn pack_small() {
    assert_eq!(members(3).pack(), members(3));
}

/// Guards against peers whose packed bytes hold no message, nest, or grow without bound.
#[test]
fn unpack_malformed() {
    let garbage = FromReplica::Packed(ByteBuf::from(vec![7; 100]));
    assert!(garbage.unpack().is_err());
    let inner = codec::encode(&members(500).pack()).unwrap();
    let nested = FromReplica::Packed(ByteBuf::from(compress_to_vec(&inner, PACK_LEVEL)));
    assert!(nested.unpack().is_err());
    let bomb = compress_to_vec(&vec![0; codec::MAX_FRAME_BYTES + 1], PACK_LEVEL);
    assert!(FromReplica::Packed(ByteBuf::from(bomb)).unpack().is_err());
}
