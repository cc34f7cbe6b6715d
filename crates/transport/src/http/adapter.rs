//! Adapter that implements hyper's I/O traits for streams with the I/O traits of `futures`.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Maximum number of bytes per read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// Wraps a stream of `futures` for use by hyper.
pub(super) struct HyperIo<S>(pub(super) S);

impl<S: AsyncRead + Unpin> Read for HyperIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // hyper's buffer may be uninitialized; without `unsafe` it can only be filled by copying.
        let mut scratch = [0; READ_BYTES];
        let length = buf.remaining().min(READ_BYTES);
        let count = ready!(Pin::new(&mut self.0).poll_read(cx, &mut scratch[..length]))?;
        buf.put_slice(&scratch[..count]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> Write for HyperIo<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}
