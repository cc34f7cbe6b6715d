//! Socket of a link. It counts bytes and limits how many a peer can send before it is
//! authenticated.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use async_std::net::TcpStream;
use futures::io::{AsyncRead, AsyncWrite};

use super::LinkBytes;

/// Maximum number of bytes that a peer may send before it is authenticated. The upgrade request of
/// a daemon takes about 200 bytes and its handshake messages about 500.
const MAX_UNAUTHENTICATED_BYTES: u64 = 16 * 1024;

/// TCP stream with byte counters. Clones share the stream and the counters.
#[derive(Clone)]
pub(super) struct LinkSocket {
    stream: TcpStream,
    counters: Arc<Counters>,
}

#[derive(Default)]
struct Counters {
    sent: AtomicU64,
    received: AtomicU64,
    /// Reads fail once `received` reaches this value.
    read_limit: AtomicU64,
}

impl LinkSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        let counters = Counters::default();
        counters
            .read_limit
            .store(MAX_UNAUTHENTICATED_BYTES, Ordering::Relaxed);
        Self {
            stream,
            counters: Arc::new(counters),
        }
    }

    /// Removes the limit on bytes read. Called once the peer is authenticated.
    pub(super) fn remove_read_limit(&self) {
        self.counters.read_limit.store(u64::MAX, Ordering::Relaxed);
    }

    pub(super) fn bytes(&self) -> LinkBytes {
        LinkBytes {
            sent: self.counters.sent.load(Ordering::Relaxed),
            received: self.counters.received.load(Ordering::Relaxed),
        }
    }

    pub(super) fn received(&self) -> u64 {
        self.counters.received.load(Ordering::Relaxed)
    }

    pub(super) fn sent(&self) -> u64 {
        self.counters.sent.load(Ordering::Relaxed)
    }

    pub(super) fn shutdown_write(&self) {
        // Ignores the error, which only occurs if the connection has already ended.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    pub(super) fn shutdown(&self) {
        // Ignores the error, which only occurs if the connection has already ended.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl AsyncRead for LinkSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let received = self.counters.received.load(Ordering::Relaxed);
        if received >= self.counters.read_limit.load(Ordering::Relaxed) {
            let error = io::Error::new(
                io::ErrorKind::InvalidData,
                "peer exceeded the byte limit before authentication",
            );
            return Poll::Ready(Err(error));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.counters
            .received
            .fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for LinkSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.counters
            .sent
            .fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
