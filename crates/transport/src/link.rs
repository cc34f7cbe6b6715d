//! Authenticated links between daemons: WebSocket connections that carry CBOR messages.
//!
//! A link is usable only after the handshake of [`sycamoreflow_protocol::handshake`] has succeeded
//! in both directions. Each end then sends a heartbeat every [`Limits::heartbeat_interval`], and a
//! link on which nothing is received for [`Limits::silence_timeout`] fails with
//! [`LinkError::Silent`]. Links that carry calls are often idle; while idle they send fewer
//! heartbeats. The send queue is bounded and refuses frames instead of growing. Callers must keep
//! receiving from a [`Receiver`], since only a pending receive detects a silent peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use serde::Serialize;
use sycamoreflow_protocol::codec::{self, CodecError};
use sycamoreflow_protocol::handshake::HandshakeError;
use sycamoreflow_state::ids::DaemonId;

mod open;
mod queue;
mod receiver;
mod stream;
mod writer;

#[cfg(test)]
pub(crate) mod tests;

pub use open::{accept, connect};
pub use receiver::Receiver;
pub use sycamoreflow_protocol::handshake::{Identity, MeshKey, Purpose};

use queue::SendQueue;
use stream::LinkSocket;

/// Result of opening a link or of receiving from it.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Reason why a link could not be opened or has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// An operation on the socket failed.
    Io(io::ErrorKind),
    /// The peer violated the WebSocket protocol or exceeded a size limit.
    Protocol(String),
    /// The handshake failed, so the peer is not authenticated.
    Handshake(HandshakeError),
    /// A message from the peer cannot be decoded.
    Codec(CodecError),
    /// Opening the link exceeded [`Limits::connect`] or [`Limits::handshake`].
    OpenTimeout,
    /// Nothing was received from the peer for [`Limits::silence_timeout`], or for the longer
    /// timeout of an idle link.
    Silent,
    /// Either end closed the link.
    Closed,
    /// The peer closed the link with [`Sender::close_drained`].
    Drained,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(kind) => write!(f, "link socket error: {kind}"),
            Self::Protocol(detail) => write!(f, "link protocol violation: {detail}"),
            Self::Handshake(error) => write!(f, "link handshake failed: {error}"),
            Self::Codec(error) => write!(f, "invalid link message: {error}"),
            Self::OpenTimeout => f.write_str("opening the link timed out"),
            Self::Silent => {
                f.write_str("nothing received from the link peer within the silence timeout")
            }
            Self::Closed => f.write_str("link is closed"),
            Self::Drained => f.write_str("link was closed by a peer that is about to stop"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Reason why a frame was not queued. No byte of it has been or will be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The send queue is full.
    Full,
    /// The link is closed.
    Closed,
    /// The message cannot be encoded or is too large.
    Codec(CodecError),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("send queue is full"),
            Self::Closed => f.write_str("link is closed"),
            Self::Codec(error) => write!(f, "message cannot be sent: {error}"),
        }
    }
}

impl std::error::Error for SendError {}

/// Time and size limits of a link.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time limit for opening the TCP connection, without the handshake.
    pub connect: Duration,
    /// Time limit for the WebSocket upgrade and the handshake together.
    pub handshake: Duration,
    /// Time between two heartbeats of a link in use.
    pub heartbeat_interval: Duration,
    /// Time without received bytes after which a link in use fails. Must exceed
    /// `heartbeat_interval`.
    pub silence_timeout: Duration,
    /// Time after which a link fails if the socket accepts no byte of a pending write.
    pub write_stall_timeout: Duration,
    /// Maximum number of frames that are queued or being written.
    pub queue_frames: usize,
    /// Maximum number of bytes that are queued or being written. A single frame may exceed it.
    pub queue_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            handshake: Duration::from_secs(2),
            heartbeat_interval: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(2),
            write_stall_timeout: Duration::from_secs(5),
            queue_frames: 4096,
            queue_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Heartbeat interval of an idle link as a multiple of [`Limits::silence_timeout`]. No request
/// waits on an idle link, so far fewer heartbeats are enough.
const IDLE_HEARTBEAT_PER_SILENCE: f64 = 1.5;
/// Silence timeout of an idle link as a multiple of [`Limits::silence_timeout`]. It exceeds twice
/// the idle heartbeat interval, so one late heartbeat does not end the link.
const IDLE_SILENCE_FACTOR: f64 = 3.5;

impl Limits {
    /// Returns the heartbeat interval of an idle link, on which neither end waits for the other.
    /// See [`Sender::set_idle`].
    fn idle_heartbeat_interval(&self) -> Duration {
        self.silence_timeout.mul_f64(IDLE_HEARTBEAT_PER_SILENCE)
    }

    /// Returns the time without received bytes after which an idle link fails.
    fn idle_silence_timeout(&self) -> Duration {
        self.silence_timeout.mul_f64(IDLE_SILENCE_FACTOR)
    }
}

/// The authenticated other end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Daemon id of the peer, authenticated by the handshake.
    pub daemon: DaemonId,
    /// Remote address of the TCP connection.
    pub address: SocketAddr,
}

/// Byte counters of a link, including the handshake, heartbeats and WebSocket headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Bytes written to the socket.
    pub sent: u64,
    /// Bytes read from the socket.
    pub received: u64,
}

/// State shared by both halves and the writer task of a link.
struct Shared {
    peer: Peer,
    queue: SendQueue,
    socket: LinkSocket,
    /// When the link came into use; `None` while it is idle.
    in_use_since: Mutex<Option<Instant>>,
    /// Whether the link is closed with [`Sender::close_drained`].
    drained: AtomicBool,
}

impl Shared {
    /// Ends the link immediately and discards the queued frames.
    fn abort(&self) {
        self.queue.close();
        self.socket.shutdown();
    }
}

/// Sending half of a link. Clones share one queue, and the link closes when the last clone is
/// dropped.
#[derive(Clone)]
pub struct Sender {
    handle: Arc<SenderHandle>,
}

struct SenderHandle {
    shared: Arc<Shared>,
}

impl Drop for SenderHandle {
    fn drop(&mut self) {
        self.shared.queue.close();
    }
}

impl Sender {
    fn new(shared: Arc<Shared>) -> Self {
        Self {
            handle: Arc::new(SenderHandle { shared }),
        }
    }

    /// Queues a message for writing and returns without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, the link is closed or the message is too large. In each case no
    /// byte of the message is written.
    pub fn send<T: Serialize + ?Sized>(&self, message: &T) -> std::result::Result<(), SendError> {
        self.send_encoded(encode(message)?)
    }

    /// Queues a frame that was encoded with [`codec::encode`]. A frame that is sent on many links
    /// is encoded once and shared.
    ///
    /// # Errors
    ///
    /// As for [`Sender::send`].
    pub fn send_encoded(&self, frame: impl Into<Bytes>) -> std::result::Result<(), SendError> {
        let frame = frame.into();
        check_size(&frame)?;
        self.queue().push(frame)
    }

    /// Queues a message and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Fails if the link closes or the message is too large. If the future is dropped before it
    /// completes, no byte of the message is written.
    pub async fn send_waiting<T: Serialize + ?Sized>(
        &self,
        message: &T,
    ) -> std::result::Result<(), SendError> {
        let frame = Bytes::from(encode(message)?);
        self.queue().push_waiting(frame).await
    }

    /// Marks the link as idle or in use. A link is idle when neither end has a pending request on
    /// it; it then sends fewer heartbeats and tolerates a longer silence. A new link is in use.
    /// Both ends must set the same state, so that an end that waits for a reply receives heartbeats
    /// at the full rate.
    pub fn set_idle(&self, idle: bool) {
        let mut since = self.handle.shared.in_use_since.lock();
        match idle {
            true => *since = None,
            false => *since = since.or_else(|| Some(Instant::now())),
        }
    }

    /// Refuses further frames and closes the link once the queued ones are written.
    pub fn close(&self) {
        self.queue().close();
    }

    /// Closes the link like [`Sender::close`], and tells the peer that every request that it gets no
    /// reply to was not handled. The link stays open for reading, and ends when the peer closes it.
    /// Call [`Receiver::receive`] until then: bytes that remain unread when the socket closes make
    /// the system discard the frames that the peer has not received.
    pub fn close_drained(&self) {
        self.handle.shared.drained.store(true, Ordering::SeqCst);
        self.close();
    }

    /// Returns whether the link refuses further frames.
    pub fn is_closed(&self) -> bool {
        self.queue().is_closed()
    }

    /// Returns the authenticated peer.
    pub fn peer(&self) -> &Peer {
        &self.handle.shared.peer
    }

    /// Returns the bytes sent and received so far.
    pub fn bytes(&self) -> LinkBytes {
        self.handle.shared.socket.bytes()
    }

    fn queue(&self) -> &SendQueue {
        &self.handle.shared.queue
    }
}

impl fmt::Debug for Sender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sender")
            .field("peer", self.peer())
            .finish_non_exhaustive()
    }
}

fn encode<T: Serialize + ?Sized>(message: &T) -> std::result::Result<Vec<u8>, SendError> {
    codec::encode(message).map_err(SendError::Codec)
}

fn check_size(frame: &Bytes) -> std::result::Result<(), SendError> {
    if frame.len() > codec::MAX_FRAME_BYTES {
        return Err(SendError::Codec(CodecError::TooLarge));
    }
    Ok(())
}
