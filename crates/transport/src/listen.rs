//! Listening TCP sockets.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// Length of the accept queue. With the standard library's 128, a burst of 300 connection attempts
/// on loopback overflowed the queue, and the system retries a dropped attempt only after 1 s.
const BACKLOG: i32 = 4096;

/// Opens a listening TCP socket whose accept queue absorbs bursts of connection attempts. Port 0
/// selects a free port.
///
/// # Errors
///
/// Fails if the address is in use or is not an address of this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // Allows binding after a restart while connections of the previous process are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(std::net::TcpListener::from(socket).into())
}
