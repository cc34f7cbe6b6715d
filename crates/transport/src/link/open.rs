//! Opens links: TCP connection, WebSocket upgrade and handshake.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use async_tungstenite::WebSocketStream;
use async_tungstenite::tungstenite::protocol::WebSocketConfig;
use async_tungstenite::tungstenite::{Error as WsError, Message};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamoreflow_protocol::codec::{self, MAX_FRAME_BYTES};
use sycamoreflow_protocol::handshake::{
    Identity, Initiator, NONCE_BYTES, Nonce, Purpose, Responder,
};

use super::queue::SendQueue;
use super::stream::LinkSocket;
use super::{Limits, LinkError, Peer, Receiver, Result, Sender, Shared, writer};

pub(super) type Socket = WebSocketStream<LinkSocket>;

/// Size of the read buffer and of the write buffer of a link, in bytes. The library's default of
/// 128 KiB for each would take 256 KiB per link, and a control replica has 700 links.
const BUFFER_BYTES: usize = 8 * 1024;

/// URI of the upgrade request. The host name in it is not resolved.
const UPGRADE_URI: &str = "ws://sycamoreflow/link";

/// Opens a link to the daemon at `address`.
///
/// # Errors
///
/// Fails if the peer is unreachable, cannot prove that it has the mesh key or exceeds
/// [`Limits::connect`] or [`Limits::handshake`].
pub async fn connect(
    address: SocketAddr,
    identity: &Identity,
    purpose: Purpose,
    limits: &Limits,
) -> Result<(Sender, Receiver)> {
    let stream = timeout(limits.connect, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::OpenTimeout)?
        .map_err(|error| LinkError::Io(error.kind()))?;
    let socket = prepare(stream)?;
    timeout(
        limits.handshake,
        initiate(socket, identity, purpose, limits),
    )
    .await
    .map_err(|_| LinkError::OpenTimeout)?
}

/// Accepts a link on a new connection. No message is accepted from a peer that fails the
/// handshake.
///
/// # Errors
///
/// Fails if the peer cannot prove that it has the mesh key, belongs to another mesh, uses another
/// protocol version or exceeds [`Limits::handshake`].
pub async fn accept(
    stream: TcpStream,
    identity: &Identity,
    limits: &Limits,
) -> Result<(Peer, Purpose, Sender, Receiver)> {
    let socket = prepare(stream)?;
    timeout(limits.handshake, respond(socket, identity, limits))
        .await
        .map_err(|_| LinkError::OpenTimeout)?
}

fn prepare(stream: TcpStream) -> Result<(LinkSocket, SocketAddr)> {
    let io_error = |error: std::io::Error| LinkError::Io(error.kind());
    stream.set_nodelay(true).map_err(io_error)?;
    let address = stream.peer_addr().map_err(io_error)?;
    Ok((LinkSocket::new(stream), address))
}

async fn initiate(
    (socket, address): (LinkSocket, SocketAddr),
    identity: &Identity,
    purpose: Purpose,
    limits: &Limits,
) -> Result<(Sender, Receiver)> {
    let config = Some(web_socket_config());
    let (mut ws, _) =
        async_tungstenite::client_async_with_config(UPGRADE_URI, socket.clone(), config)
            .await
            .map_err(web_socket_error)?;
    let (initiator, hello) = Initiator::start(identity, purpose, nonce()?);
    send(&mut ws, &hello).await?;
    let challenge = receive(&mut ws).await?;
    let (awaiting, proof) = initiator.prove(challenge).map_err(LinkError::Handshake)?;
    send(&mut ws, &proof).await?;
    let welcome = receive(&mut ws).await?;
    let daemon = awaiting.finish(&welcome).map_err(LinkError::Handshake)?;
    Ok(start(ws, socket, Peer { daemon, address }, limits))
}

async fn respond(
    (socket, address): (LinkSocket, SocketAddr),
    identity: &Identity,
    limits: &Limits,
) -> Result<(Peer, Purpose, Sender, Receiver)> {
    let config = Some(web_socket_config());
    let mut ws = async_tungstenite::accept_async_with_config(socket.clone(), config)
        .await
        .map_err(web_socket_error)?;
    let hello = receive(&mut ws).await?;
    let (responder, challenge) =
        Responder::challenge(identity, hello, nonce()?).map_err(LinkError::Handshake)?;
    send(&mut ws, &challenge).await?;
    let proof = receive(&mut ws).await?;
    let (daemon, purpose, welcome) = responder.finish(&proof).map_err(LinkError::Handshake)?;
    send(&mut ws, &welcome).await?;
    let peer = Peer { daemon, address };
    let (sender, receiver) = start(ws, socket, peer.clone(), limits);
    Ok((peer, purpose, sender, receiver))
}

fn start(ws: Socket, socket: LinkSocket, peer: Peer, limits: &Limits) -> (Sender, Receiver) {
    socket.remove_read_limit();
    let shared = Arc::new(Shared {
        peer,
        queue: SendQueue::new(limits.queue_frames, limits.queue_bytes),
        socket,
        in_use_since: Mutex::new(Some(Instant::now())),
        drained: AtomicBool::new(false),
    });
    let (ws_sender, ws_receiver) = ws.split();
    let write = writer::run(ws_sender, shared.clone(), limits.clone());
    task::spawn(write);
    let receiver = Receiver::new(ws_receiver, shared.clone(), limits);
    (Sender::new(shared), receiver)
}

async fn send<T: Serialize>(ws: &mut Socket, message: &T) -> Result<()> {
    let frame = codec::encode(message).map_err(LinkError::Codec)?;
    let message = Message::Binary(Bytes::from(frame));
    SinkExt::send(ws, message).await.map_err(web_socket_error)
}

async fn receive<T: DeserializeOwned>(ws: &mut Socket) -> Result<T> {
    loop {
        let message = ws.next().await.ok_or(LinkError::Closed)?;
        match message.map_err(web_socket_error)? {
            Message::Binary(frame) => return codec::decode(&frame).map_err(LinkError::Codec),
            Message::Close(_) => return Err(LinkError::Closed),
            Message::Ping(_) | Message::Pong(_) => continue,
            _ => return Err(LinkError::Protocol("unexpected text message".into())),
        }
    }
}

fn web_socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

pub(super) fn web_socket_error(error: WsError) -> LinkError {
    match error {
        WsError::ConnectionClosed | WsError::AlreadyClosed => LinkError::Closed,
        WsError::Io(error) => LinkError::Io(error.kind()),
        other => LinkError::Protocol(other.to_string()),
    }
}

fn nonce() -> Result<Nonce> {
    let mut nonce = [0; NONCE_BYTES];
    getrandom::fill(&mut nonce).map_err(|_| LinkError::Io(std::io::ErrorKind::Other))?;
    Ok(nonce)
}
