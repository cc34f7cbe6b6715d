use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, SinkExt, StreamExt, join};
use rstest::rstest;
use sycamoreflow_protocol::codec::MAX_FRAME_BYTES;

use super::*;

pub(crate) const KEY: &str = "a key of the mesh for tests";

pub(crate) fn identity(mesh: &str, daemon: &str, key: &str) -> Identity {
    Identity {
        mesh: mesh.into(),
        daemon: daemon.into(),
        key: MeshKey::new(key).unwrap(),
    }
}

/// Maximum time that a test waits for a time limit to take effect. The limits in the tests are much
/// shorter, and without them the exchange would never end. The margin covers pauses of a busy
/// machine.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Returns limits that are short enough for tests.
pub(crate) fn limits() -> Limits {
    Limits {
        handshake: Duration::from_millis(300),
        heartbeat_interval: Duration::from_millis(50),
        silence_timeout: Duration::from_millis(200),
        write_stall_timeout: Duration::from_millis(300),
        ..Limits::default()
    }
}

pub(crate) type Ends = ((Sender, Receiver), (Sender, Receiver));

/// Opens a link over loopback and returns the end of the initiator and the end of the responder.
pub(crate) async fn open(client: &Limits, server: &Limits) -> Ends {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (a, b) = (identity("m", "a", KEY), identity("m", "b", KEY));
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, &b, server).await.unwrap()
    };
    let (opened, (peer, purpose, sender, receiver)) =
        join!(connect(address, &a, Purpose::Calls, client), accepting);
    assert_eq!((peer.daemon.as_str(), purpose), ("a", Purpose::Calls));
    (opened.unwrap(), (sender, receiver))
}

async fn attempt_handshake(client: Identity, server: Identity) -> (LinkError, LinkError) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, &server, &limits()).await.unwrap_err()
    };
    let limits = limits();
    let connecting = connect(address, &client, Purpose::Calls, &limits);
    let (connected, accepted) = join!(connecting, accepting);
    (connected.unwrap_err(), accepted)
}

/// Guards against messages that are lost, altered or reordered, including messages that are sent in
/// several fragments.
#[async_std::test]
async fn send_both_ways() {
    // A heartbeat that is under way would be counted as sent, but not as received.
    let limits = Limits {
        heartbeat_interval: MAX_WAIT * 2,
        silence_timeout: MAX_WAIT * 4,
        ..limits()
    };
    let ((a_tx, mut a_rx), (b_tx, mut b_rx)) = open(&limits, &limits).await;
    assert_eq!(a_rx.peer().daemon.as_str(), "b");
    let large = serde_bytes::ByteBuf::from(vec![7; MAX_FRAME_BYTES - 100]);
    a_tx.send("first").unwrap();
    a_tx.send(&large).unwrap();
    b_tx.send_encoded(codec::encode(&3_u32).unwrap()).unwrap();
    assert_eq!(b_rx.receive::<String>().await.unwrap(), "first");
    let received: serde_bytes::ByteBuf = b_rx.receive().await.unwrap();
    assert_eq!(received, large);
    assert_eq!(a_rx.receive::<u32>().await.unwrap(), 3);
    assert!(a_tx.bytes().sent > large.len() as u64);
    assert_eq!(a_tx.bytes().sent, b_tx.bytes().received);
}

/// Guards against accepting a link from a peer with another key or from another mesh.
#[rstest]
#[case::key(
    identity("m", "a", "another key of the mesh"),
    HandshakeError::BadProof
)]
#[case::mesh(identity("other", "a", KEY), HandshakeError::OtherMesh)]
#[async_std::test]
async fn accept_unauthenticated_peer(
    #[case] unauthenticated: Identity,
    #[case] error: HandshakeError,
) {
    let server = identity("m", "b", KEY);
    let (_, accepted) = attempt_handshake(unauthenticated, server).await;
    assert_eq!(accepted, LinkError::Handshake(error));
}

/// Guards against an initiator that accepts a responder without the mesh key.
#[async_std::test]
async fn connect_to_impostor() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let impostor = task::spawn(async move {
        use sycamoreflow_protocol::handshake::{Challenge, Welcome};
        let (stream, _) = listener.accept().await.unwrap();
        let mut ws = async_tungstenite::accept_async(stream).await.unwrap();
        let challenge = Challenge {
            daemon: "b".into(),
            nonce: [0; 32],
        };
        let welcome = Welcome { mac: [0; 32] };
        let replies = [codec::encode(&challenge), codec::encode(&welcome)];
        for reply in replies {
            let _ = ws.next().await;
            let message = async_tungstenite::tungstenite::Message::binary(reply.unwrap());
            SinkExt::send(&mut ws, message).await.unwrap();
        }
    });
    let a = identity("m", "a", KEY);
    let outcome = connect(address, &a, Purpose::Calls, &limits()).await;
    let error = LinkError::Handshake(HandshakeError::BadProof);
    assert_eq!(outcome.unwrap_err(), error);
    impostor.await;
}

/// Guards against a peer that sends invalid bytes, or none, instead of the handshake and so
/// occupies a connection or memory for longer than the time limit.
#[rstest]
#[case::nothing(Vec::new())]
#[case::text(b"hello\r\n\r\n".to_vec())]
#[case::binary(vec![0x82, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff])]
#[case::endless_upgrade([b"GET /link HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 1 << 20]].concat())]
#[async_std::test]
async fn accept_garbage(#[case] bytes: Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let writing = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.read(&mut [0; 64]).await;
    };
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        let started = std::time::Instant::now();
        assert!(
            accept(stream, &identity("m", "b", KEY), &limits())
                .await
                .is_err()
        );
        assert!(started.elapsed() < MAX_WAIT);
    };
    join!(writing, accepting);
}

/// Guards against accepting an ordinary message from an unauthenticated peer that sends it instead
/// of its proof.
#[async_std::test]
async fn accept_message_before_proof() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let unauthenticated = async {
        use async_tungstenite::tungstenite::Message;
        use sycamoreflow_protocol::handshake::Initiator;
        let stream = TcpStream::connect(address).await.unwrap();
        let (mut ws, _) = async_tungstenite::client_async("ws://x/link", stream)
            .await
            .unwrap();
        let a = identity("m", "a", KEY);
        let (_, hello) = Initiator::start(&a, Purpose::Calls, [1; 32]);
        for frame in [codec::encode(&hello), codec::encode("a message")] {
            let message = Message::binary(frame.unwrap());
            SinkExt::send(&mut ws, message).await.unwrap();
        }
        let _ = ws.next().await;
        assert!(!matches!(ws.next().await, Some(Ok(Message::Binary(_)))));
    };
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept(stream, &identity("m", "b", KEY), &limits()).await
    };
    let ((), accepted) = join!(unauthenticated, accepting);
    assert!(matches!(accepted, Err(LinkError::Codec(_))));
}

/// Guards against ending a link as silent although both ends send heartbeats and no messages.
#[async_std::test]
async fn receive_idle_link() {
    let ((a_tx, mut a_rx), (b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    let idle = limits().silence_timeout * 3;
    let a_waits = timeout(idle, a_rx.receive::<u32>());
    let b_waits = timeout(idle, b_rx.receive::<u32>());
    let (a_outcome, b_outcome) = join!(a_waits, b_waits);
    assert!(a_outcome.is_err() && b_outcome.is_err());
    assert!(!a_tx.is_closed() && !b_tx.is_closed());
}

/// Guards against keeping a link open after the peer has stopped sending heartbeats.
#[async_std::test]
async fn receive_silent_peer() {
    let no_heartbeats = Limits {
        heartbeat_interval: Duration::from_secs(60),
        ..limits()
    };
    let ((a_tx, mut a_rx), _b) = open(&limits(), &no_heartbeats).await;
    let started = std::time::Instant::now();
    assert_eq!(a_rx.receive::<u32>().await, Err(LinkError::Silent));
    assert!(started.elapsed() < MAX_WAIT);
    assert_eq!(a_tx.send(&1), Err(SendError::Closed));
}

/// Guards against frequent heartbeats on idle links, which made up most of the work of a daemon
/// without load, and against ending idle links as silent.
#[async_std::test]
async fn receive_idle_heartbeats() {
    let ((a_tx, mut a_rx), (b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    a_tx.set_idle(true);
    b_tx.set_idle(true);
    let before = a_tx.bytes().received;
    let wait = limits().silence_timeout * 3;
    let (a, b) = join!(
        timeout(wait, a_rx.receive_encoded()),
        timeout(wait, b_rx.receive_encoded())
    );
    assert!(a.is_err() && b.is_err(), "the link has ended");
    // At the full rate, twelve heartbeats of at least two bytes each would arrive in this time.
    let received = a_tx.bytes().received - before;
    assert!(received <= 10, "{received} bytes");
}

/// Guards against late detection when the peer stops sending on an idle link and a call then waits
/// on that link.
#[async_std::test]
async fn receive_silent_peer_in_use() {
    let no_heartbeats = Limits {
        heartbeat_interval: Duration::from_secs(60),
        ..limits()
    };
    let ((a_tx, mut a_rx), _b) = open(&limits(), &no_heartbeats).await;
    a_tx.set_idle(true);
    let idle = limits().silence_timeout * 2;
    assert!(timeout(idle, a_rx.receive_encoded()).await.is_err());
    a_tx.set_idle(false);
    let ended = timeout(MAX_WAIT, a_rx.receive_encoded()).await;
    assert_eq!(ended.unwrap(), Err(LinkError::Silent));
}

/// Guards against a send queue that grows without limit while the peer reads nothing, and against
/// a link that stays open forever in that state.
#[async_std::test]
async fn send_peer_stops_reading() {
    let bounded = Limits {
        queue_frames: 64,
        queue_bytes: 4 * 1024 * 1024,
        silence_timeout: MAX_WAIT * 2,
        ..limits()
    };
    let ((a_tx, mut a_rx), _b) = open(&bounded, &limits()).await;
    let frame = Bytes::from(codec::encode(&serde_bytes::ByteBuf::from(vec![0; 1 << 20])).unwrap());
    let mut accepted = 0;
    let mut refused = 0;
    let started = std::time::Instant::now();
    // The queue may be full because the writer is late, while the socket still takes frames.
    loop {
        match a_tx.send_encoded(frame.clone()) {
            Ok(()) => accepted += 1,
            Err(SendError::Full) => refused += 1,
            Err(error) => {
                assert_eq!(error, SendError::Closed);
                break;
            }
        }
        assert!(started.elapsed() < MAX_WAIT, "the link stays open");
        task::sleep(Duration::from_millis(1)).await;
    }
    assert!(refused > 0, "the queue was never full");
    assert!(accepted < 100, "{accepted} MiB accepted");
    assert!(a_rx.receive::<u32>().await.is_err());
    assert_eq!(a_tx.send(&1), Err(SendError::Closed));
    assert!(started.elapsed() < MAX_WAIT);
}

/// Guards against queueing a frame that exceeds the peer's size limit, which would end the link.
#[async_std::test]
async fn send_too_large() {
    let ((a_tx, _a_rx), _b) = open(&limits(), &limits()).await;
    let outcome = a_tx.send_encoded(vec![0; MAX_FRAME_BYTES + 1]);
    assert_eq!(outcome, Err(SendError::Codec(CodecError::TooLarge)));
}

/// Guards against losing queued frames when the sender is dropped.
#[async_std::test]
async fn drop_sender_with_queue() {
    let ((a_tx, _a_rx), (_b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    for number in 0..100_u32 {
        a_tx.send(&number).unwrap();
    }
    drop(a_tx);
    for number in 0..100_u32 {
        assert_eq!(b_rx.receive::<u32>().await, Ok(number));
    }
    assert_eq!(b_rx.receive::<u32>().await, Err(LinkError::Closed));
}

/// Guards against delivering a malformed message, and against losing the messages after it.
#[async_std::test]
async fn receive_malformed() {
    let ((a_tx, _a_rx), (_b_tx, mut b_rx)) = open(&limits(), &limits()).await;
    a_tx.send_encoded(vec![0xff]).unwrap();
    a_tx.send(&5_u32).unwrap();
    assert!(matches!(
        b_rx.receive::<u32>().await,
        Err(LinkError::Codec(_))
    ));
    assert_eq!(b_rx.receive::<u32>().await, Ok(5));
}
