//! One HTTP request over a connection of its own.
//!
//! The connection goes through a byte bound and a time limit, since `async-h1` bounds neither the
//! head of a response nor the wait for it, and accepts a body that ends early
//! (`docs/design.md`, section 2.9).

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use http_types::headers::{AUTHORIZATION, CONNECTION, CONTENT_TYPE};
use http_types::{Method, Request, Url};

/// Result of a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Time limit of a request. It exceeds the time in which the control group elects a leader (2 s).
pub const TIME_LIMIT: Duration = Duration::from_secs(4);
/// Most bytes of a response. The endpoints of a mesh of 14,000 take about 4 MB.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No connection was established.
    Connect(io::Error),
    /// The response was late, malformed, cut short or too large.
    Response(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(e) => write!(f, "cannot connect: {e}"),
            Self::Response(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for SendError {}

/// Sends a request and returns the status and the body of the response.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: Vec<u8>,
) -> Result<(u16, Vec<u8>)> {
    match timeout(TIME_LIMIT, exchange(address, method, path, token, body)).await {
        Ok(result) => result,
        Err(_) => {
            let message = format!("no response within {} s", TIME_LIMIT.as_secs());
            Err(SendError::Response(message))
        }
    }
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: &str,
    body: Vec<u8>,
) -> Result<(u16, Vec<u8>)> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|e| SendError::Response(format!("bad path {path:?}: {e}")))?;
    let mut req = Request::new(method, url);
    req.insert_header(AUTHORIZATION, format!("Bearer {token}"));
    req.insert_header(CONNECTION, "close");
    if !body.is_empty() {
        req.insert_header(CONTENT_TYPE, "application/json");
    }
    req.set_body(body);
    let stream = TcpStream::connect(address)
        .await
        .map_err(SendError::Connect)?;
    let stream = Bounded {
        stream,
        left: MAX_RESPONSE_BYTES,
    };
    let malformed = |e: http_types::Error| SendError::Response(format!("bad response: {e}"));
    let mut response = async_h1::connect(stream, req).await.map_err(malformed)?;
    let expected = response.len();
    let body = response.body_bytes().await.map_err(malformed)?;
    if expected.is_some_and(|expected| expected != body.len()) {
        return Err(SendError::Response("the response ends early".to_owned()));
    }
    Ok((u16::from(response.status()), body))
}

/// A stream that fails once the bound on received bytes is exceeded.
struct Bounded {
    stream: TcpStream,
    left: usize,
}

impl Read for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.left == 0 {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the response is too large");
            return Poll::Ready(Err(error));
        }
        let most = buf.len().min(self.left);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut buf[..most]);
        if let Poll::Ready(Ok(read)) = &polled {
            self.left -= read;
        }
        polled
    }
}

impl Write for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
