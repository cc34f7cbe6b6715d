//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use socket2::{Domain, Protocol, Socket, Type};

/// Connections that may wait to be accepted. With the 128 of the standard library, a burst of 300
/// connection attempts on loopback lost some, which the system tries again only after 1 s.
const BACKLOG: i32 = 4096;

/// Listens on an address, with room for bursts of connection attempts.
///
/// # Errors
///
/// Fails if the address is in use or not one of the host's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    // Allows a restart while connections of the previous process linger.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(std::net::TcpListener::from(socket).into())
}
