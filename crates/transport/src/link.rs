//! Authenticated links between daemons: WebSocket connections that carry CBOR messages.
//!
//! A link is usable only after the handshake of [`sycamoreflow_protocol::handshake`] has succeeded
//! in both directions. Each end then sends a heartbeat every [`Limits::heartbeat_interval`], and a link
//! on which nothing was heard for [`Limits::silence`] is dead. Links that carry calls are often idle;
//! their heartbeats are rarer meanwhile. The send queue is bounded and refuses
//! frames instead of growing. A [`Receiver`] must be received from continuously, since it is also
//! what detects a silent peer.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
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

/// Result of the functions of this module.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Why a link cannot be opened or has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The socket failed.
    Io(io::ErrorKind),
    /// The peer violated the WebSocket protocol or a size bound.
    Protocol(String),
    /// The peer did not authenticate itself.
    Handshake(HandshakeError),
    /// A message of the peer cannot be decoded.
    Codec(CodecError),
    /// Opening the link took longer than its time limit.
    OpenTimeout,
    /// Nothing was heard from the peer for [`Limits::silence`].
    Silent,
    /// The link was closed, by either end.
    Closed,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(kind) => write!(f, "link socket failed: {kind}"),
            Self::Protocol(detail) => write!(f, "link protocol violated: {detail}"),
            Self::Handshake(error) => write!(f, "link handshake failed: {error}"),
            Self::Codec(error) => write!(f, "link received {error}"),
            Self::OpenTimeout => f.write_str("link was not opened within its time limit"),
            Self::Silent => f.write_str("link peer was silent for too long"),
            Self::Closed => f.write_str("link is closed"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Why a frame was not queued. No byte of it has been or will be written.
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
    /// Time limit of opening a connection, without the handshake.
    pub connect: Duration,
    /// Time limit of the handshake.
    pub handshake: Duration,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// A link is dead when nothing was heard for this long. Must exceed `heartbeat_interval`.
    pub silence: Duration,
    /// A link is dead when the peer takes no byte of a write for this long.
    pub write_stall: Duration,
    /// Largest number of frames in the send queue.
    pub queue_frames: usize,
    /// Largest number of bytes in the send queue. A single frame may exceed it.
    pub queue_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            handshake: Duration::from_secs(2),
            heartbeat_interval: Duration::from_secs(1),
            silence: Duration::from_secs(2),
            write_stall: Duration::from_secs(5),
            queue_frames: 4096,
            queue_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Time between two heartbeats of an idle link, relative to the silence limit of one in use. Nobody
/// waits for an idle link, so far fewer heartbeats are enough.
const IDLE_HEARTBEAT_PER_SILENCE: f64 = 1.5;
/// Silence limit of an idle link, relative to that of one in use. It leaves room for a late heartbeat.
const IDLE_SILENCE_FACTOR: f64 = 3.5;

impl Limits {
    /// Returns the time between two heartbeats of a link on which neither end waits for the other, see
    /// [`Sender::set_idle`].
    fn idle_heartbeat_interval(&self) -> Duration {
        self.silence.mul_f64(IDLE_HEARTBEAT_PER_SILENCE)
    }

    /// Returns for how long nothing may be heard on such a link before it is dead.
    fn idle_silence(&self) -> Duration {
        self.silence.mul_f64(IDLE_SILENCE_FACTOR)
    }
}

/// The authenticated other end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id that the peer proved together with the key.
    pub daemon: DaemonId,
    /// Address of the peer's end of the connection.
    pub address: SocketAddr,
}

/// Bytes that a link has carried, including the handshake, heartbeats and WebSocket headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkBytes {
    /// Bytes written to the socket.
    pub sent: u64,
    /// Bytes read from the socket.
    pub received: u64,
}

/// What both halves and the writer task of a link share.
struct Shared {
    peer: Peer,
    queue: SendQueue,
    socket: LinkSocket,
    /// Since when an end waits for the other; `None` on an idle link.
    in_use_since: Mutex<Option<Instant>>,
}

impl Shared {
    /// Ends the link at once; queued frames are lost.
    fn abort(&self) {
        self.queue.close();
        self.socket.shutdown();
    }
}

/// Sending half of a link. Clones share its queue; the link closes when the last one is dropped.
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
    /// Fails if the queue is full, the link is closed or the message is too large; then no byte
    /// of the message is written.
    pub fn send<T: Serialize + ?Sized>(&self, message: &T) -> std::result::Result<(), SendError> {
        self.send_encoded(encode(message)?)
    }

    /// Queues a frame that [`codec::encode`] made. A frame that is sent on many links is encoded
    /// once and shared.
    ///
    /// # Errors
    ///
    /// As for [`Sender::send`].
    pub fn send_encoded(&self, frame: impl Into<Bytes>) -> std::result::Result<(), SendError> {
        let frame = frame.into();
        check_size(&frame)?;
        self.queue().push(frame)
    }

    /// Queues a message, waiting for room in the queue.
    ///
    /// # Errors
    ///
    /// Fails if the link closes or the message is too large. If the future is dropped before it
    /// is ready, no byte of the message is written.
    pub async fn send_waiting<T: Serialize + ?Sized>(
        &self,
        message: &T,
    ) -> std::result::Result<(), SendError> {
        let frame = Bytes::from(encode(message)?);
        self.queue().push_waiting(frame).await
    }

    /// Says whether this end has nothing to wait for and nothing to do for the other one. An idle link
    /// has fewer heartbeats and may be silent for longer. A link is in use until this is called, and
    /// both ends have to agree, so that the one that waits hears the other.
    pub fn set_idle(&self, idle: bool) {
        let mut since = self.handle.shared.in_use_since.lock();
        match idle {
            true => *since = None,
            false => *since = since.or_else(|| Some(Instant::now())),
        }
    }

    /// Closes the link after the queued frames are written.
    pub fn close(&self) {
        self.queue().close();
    }

    /// Returns whether the link takes no more frames.
    pub fn is_closed(&self) -> bool {
        self.queue().is_closed()
    }

    /// Returns the other end.
    pub fn peer(&self) -> &Peer {
        &self.handle.shared.peer
    }

    /// Returns the bytes carried so far in both directions.
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
