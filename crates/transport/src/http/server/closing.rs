//! Rejections, and the end of a connection that the peer may still send on.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use crate::http::framing::Violation;

/// Limits on the bytes and the time spent on reading what a peer still sends before its connection
/// is closed. Closing a socket with unread data resets the connection, and the peer may lose the
/// response that says why its request was rejected.
const LINGER_BYTES: usize = 256 * 1024;
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Header of a rejection for lack of memory. After a second, the clients that hold it count as
/// stalled.
const RETRY_AFTER: &str = "retry-after: 1\r\n";

/// Responds to a request that is invalid or has no room with the status of its violation.
pub(super) async fn reject(mut stream: &TcpStream, violation: Violation) -> io::Result<()> {
    let (status, reason) = violation.status();
    let retry_after = match violation {
        Violation::NoMemory => RETRY_AFTER,
        _ => "",
    };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nconnection: close\r\ncontent-length: 0\r\n{retry_after}\
         sycamoreflow-verdict: not-run\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    linger(stream).await;
    Ok(())
}

/// Shuts down the write direction and discards what the peer still sends, up to [`LINGER_BYTES`]
/// and [`LINGER_TIME`].
pub(in crate::http) async fn linger(mut stream: &TcpStream) {
    // Fails only if the connection has already ended.
    let _ = stream.shutdown(Shutdown::Write);
    let reading = async {
        let mut buf = [0; 4096];
        let mut left = LINGER_BYTES;
        while let Ok(count @ 1..) = stream.read(&mut buf).await {
            left = left.saturating_sub(count);
            if left == 0 {
                return;
            }
        }
    };
    // A peer that keeps its connection open is expected to run into the time limit.
    let _ = timeout(LINGER_TIME, reading).await;
}
