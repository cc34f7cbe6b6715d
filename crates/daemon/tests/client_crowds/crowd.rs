//! Clients that send what they are given and read nothing.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The crowd has sent all it can once no client has made progress for this time.
const STALLED: Duration = Duration::from_secs(2);

const POLL: Duration = Duration::from_millis(5);

/// Returns a request with a chunked body in chunks of these sizes, the last one repeated, whose end
/// is never sent.
pub(crate) fn chunked_body(sizes: &[usize], length: usize) -> Vec<u8> {
    let mut payload =
        b"POST /orders HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let mut sent = 0;
    let mut sizes = sizes.iter().copied();
    let mut size = 0;
    while sent < length {
        size = sizes.next().unwrap_or(size);
        payload.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        payload.resize(payload.len() + size, b'x');
        payload.extend_from_slice(b"\r\n");
        sent += size;
    }
    payload
}

/// Returns a request that announces a body of `length` bytes, of which `sent` follow.
pub(crate) fn sized_body(length: usize, sent: usize) -> Vec<u8> {
    let head = format!("POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n");
    let mut payload = head.into_bytes();
    payload.resize(payload.len() + sent, b'x');
    payload
}

/// Returns requests without bodies, each of which is answered with a large body.
pub(crate) fn requests_ahead(count: usize) -> Vec<u8> {
    b"GET /orders HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count)
}

/// Returns complete requests with bodies of `length` bytes.
pub(crate) fn bodies_ahead(length: usize, count: usize) -> Vec<u8> {
    sized_body(length, length).repeat(count)
}

/// Clients with an open connection each.
pub(crate) struct Crowd {
    address: SocketAddr,
    clients: Vec<(TcpStream, Vec<u8>, usize)>,
    payloads: Vec<Vec<u8>>,
}

impl Crowd {
    pub(crate) fn connect(address: SocketAddr) -> eyre::Result<Self> {
        Ok(Self {
            address,
            clients: Vec::new(),
            payloads: Vec::new(),
        })
    }

    pub(crate) fn add(&mut self, payloads: Vec<Vec<u8>>) {
        self.payloads.extend(payloads);
    }

    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    /// Opens the connections and sends on all of them until none makes progress. Connections that
    /// the daemon closes stay open at this end.
    pub(crate) fn send(&mut self) -> eyre::Result<()> {
        for payload in self.payloads.drain(..) {
            let stream = TcpStream::connect(self.address)?;
            stream.set_nonblocking(true)?;
            self.clients.push((stream, payload, 0));
        }
        let mut progress = Instant::now();
        while progress.elapsed() < STALLED {
            for (stream, payload, sent) in &mut self.clients {
                match stream.write(&payload[*sent..]) {
                    Ok(0) => {}
                    Ok(count) => {
                        *sent += count;
                        progress = Instant::now();
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    // The daemon has closed the connection.
                    Err(_) => *sent = payload.len(),
                }
            }
            std::thread::sleep(POLL);
        }
        Ok(())
    }
}
