use proptest::prelude::*;
use rstest::rstest;

use super::*;
use crate::codec;

const KEY: &str = "a key of the mesh for tests";

fn identity(mesh: &str, daemon: &str, key: &str) -> Identity {
    Identity {
        mesh: mesh.into(),
        daemon: daemon.into(),
        key: MeshKey::new(key).unwrap(),
    }
}

/// Runs a handshake between the initiator `a` and the responder `b`, and returns the ids that they
/// saw of each other. `alter` may change the messages in transit.
fn run(
    a: &Identity,
    b: &Identity,
    alter: impl Fn(&mut Hello, &mut Challenge, &mut Proof, &mut Welcome),
) -> Result<(DaemonId, DaemonId)> {
    let mut dummy = (
        Proof { mac: [0; 32] },
        Welcome { mac: [0; 32] },
        Challenge {
            daemon: "x".into(),
            nonce: [0; 32],
        },
    );
    let (initiator, mut hello) = Initiator::start(a, Purpose::Calls, [1; 32]);
    alter(&mut hello, &mut dummy.2, &mut dummy.0, &mut dummy.1);
    let (responder, mut challenge) = Responder::challenge(b, hello.clone(), [2; 32])?;
    alter(&mut hello, &mut challenge, &mut dummy.0, &mut dummy.1);
    let (awaiting, mut proof) = initiator.prove(challenge.clone())?;
    alter(&mut hello, &mut challenge, &mut proof, &mut dummy.1);
    let (seen_by_b, _, mut welcome) = responder.finish(&proof)?;
    alter(&mut hello, &mut challenge, &mut proof, &mut welcome);
    let seen_by_a = awaiting.finish(&welcome)?;
    Ok((seen_by_a, seen_by_b))
}

/// Guards against a handshake that fails between daemons of one mesh.
#[test]
fn handshake_same_key() {
    let (a, b) = (identity("m", "a", KEY), identity("m", "b", KEY));
    let peers = run(&a, &b, |_, _, _, _| {}).unwrap();
    assert_eq!(peers, ("b".into(), "a".into()));
}

/// Guards against accepting a peer with another key, of another mesh or without an id.
#[rstest]
#[case::key(
    identity("m", "a", "another key of the mesh"),
    HandshakeError::BadProof
)]
#[case::mesh(identity("n", "a", KEY), HandshakeError::OtherMesh)]
#[case::empty_id(identity("m", "", KEY), HandshakeError::BadName)]
fn handshake_untrusted_peer(#[case] a: Identity, #[case] error: HandshakeError) {
    let b = identity("m", "b", KEY);
    assert_eq!(run(&a, &b, |_, _, _, _| {}), Err(error));
}

/// Guards against fields that the MACs do not cover: altering any of them must fail the handshake.
#[rstest]
#[case::purpose(|h: &mut Hello, _: &mut Challenge, _: &mut Proof, _: &mut Welcome| h.purpose = Purpose::Raft)]
#[case::daemon(|h: &mut Hello, _: &mut Challenge, _: &mut Proof, _: &mut Welcome| h.daemon = "c".into())]
#[case::nonce(|h: &mut Hello, _: &mut Challenge, _: &mut Proof, _: &mut Welcome| h.nonce[0] ^= 1)]
#[case::responder(|_: &mut Hello, c: &mut Challenge, _: &mut Proof, _: &mut Welcome| c.daemon = "c".into())]
#[case::challenge(|_: &mut Hello, c: &mut Challenge, _: &mut Proof, _: &mut Welcome| c.nonce[31] ^= 1)]
#[case::proof(|_: &mut Hello, _: &mut Challenge, p: &mut Proof, _: &mut Welcome| p.mac[0] ^= 1)]
#[case::welcome(|_: &mut Hello, _: &mut Challenge, _: &mut Proof, w: &mut Welcome| w.mac[0] ^= 1)]
#[case::reflected(|_: &mut Hello, _: &mut Challenge, p: &mut Proof, w: &mut Welcome| w.mac = p.mac)]
fn handshake_altered(#[case] alter: impl Fn(&mut Hello, &mut Challenge, &mut Proof, &mut Welcome)) {
    let (a, b) = (identity("m", "a", KEY), identity("m", "b", KEY));
    assert_eq!(run(&a, &b, alter), Err(HandshakeError::BadProof));
}

/// Guards against `Debug` output, as in logs, that contains the key.
#[test]
fn debug_hides_key() {
    let (a, b) = (identity("m", "a", KEY), identity("m", "b", KEY));
    let (initiator, hello) = Initiator::start(&a, Purpose::Calls, [1; 32]);
    let (responder, _) = Responder::challenge(&b, hello, [2; 32]).unwrap();
    let text = format!("{a:?} {initiator:?} {responder:?}");
    assert!(!text.contains(KEY));
    assert!(!text.contains(&format!("{:?}", KEY.as_bytes())));
}

/// Guards against accepting keys that are short enough to be guessed.
#[test]
fn key_too_short() {
    assert_eq!(
        MeshKey::new("short").unwrap_err(),
        HandshakeError::KeyTooShort
    );
}

proptest! {
    /// Guards against panics on arbitrary bytes in place of an initiator's messages, and against
    /// accepting an arbitrary MAC.
    #[test]
    fn handshake_arbitrary_bytes(
        first in proptest::collection::vec(any::<u8>(), 0..256),
        mac in any::<[u8; 32]>(),
    ) {
        let b = identity("m", "b", KEY);
        let (_, hello) = Initiator::start(&identity("m", "a", KEY), Purpose::Calls, [1; 32]);
        let hello = codec::decode::<Hello>(&first).unwrap_or(hello);
        if let Ok((responder, _)) = Responder::challenge(&b, hello, [2; 32]) {
            let outcome = responder.finish(&Proof { mac });
            prop_assert!(outcome.is_err());
        }
    }
}
