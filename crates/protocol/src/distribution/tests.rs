#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

use sycamoreflow_coordination::quota::{AccountId, AccountUse, SetNumber};

use super::*;

fn members(count: usize) -> FromReplica {
    let ids = (0..count).map(|index| format!("10.0.0.{index}:7400").into());
    FromReplica::Members(ids.collect())
}

/// Guards against a compression that alters a large message or doesn't shorten it.
#[test]
fn to_frame_round_trip() {
    let message = members(500);
    let frame = message.to_frame().unwrap();
    let (plain, compressed) = (codec::encode(&message).unwrap().len(), frame.len());
    assert!(compressed * 3 < plain, "{compressed} of {plain} bytes");
    assert_eq!(FromReplica::from_frame(&frame), Ok(message));
}

/// Guards against compressing messages that are too small to benefit.
#[test]
fn to_frame_small() {
    assert_eq!(members(3).to_frame(), codec::encode(&members(3)));
}

/// Guards against accepting compressed bytes that are invalid, contain another compressed message
/// or expand beyond the maximum frame length.
#[test]
fn from_frame_malformed() {
    let from_packed = |bytes: Vec<u8>| {
        let frame = codec::encode(&FromReplica::Packed(ByteBuf::from(bytes))).unwrap();
        FromReplica::from_frame(&frame)
    };
    assert!(from_packed(vec![7; 100]).is_err());
    let inner = members(500).to_frame().unwrap();
    assert!(from_packed(compress_to_vec(&inner, COMPRESSION_LEVEL)).is_err());
    let oversized = vec![0; codec::MAX_FRAME_BYTES + 1];
    assert!(from_packed(compress_to_vec(&oversized, COMPRESSION_LEVEL)).is_err());
}

/// Guards against reports on quotas that burden the leader: a daemon that sees 85 accounts sends one
/// each second.
#[test]
fn quota_report_size() {
    let accounts = (0..85).map(|index| AccountUse {
        account: AccountId(u64::MAX - index),
        asked: 1_000,
        waiting: 0,
        stock: 3,
    });
    let report = FromSubscriber::Quota(QuotaReport {
        incarnation: u64::MAX,
        at: Millis(1_000_000),
        set: SetNumber {
            term: 9,
            number: 99,
        },
        held: None,
        full: true,
        accounts: accounts.collect(),
    });
    let encoded = codec::encode(&report).unwrap();
    assert!(encoded.len() < 1_500, "{} bytes", encoded.len());
    assert_eq!(codec::decode::<FromSubscriber>(&encoded), Ok(report));
}
