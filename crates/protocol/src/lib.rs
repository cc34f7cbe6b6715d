//! Wire messages exchanged between daemons, and their encoding.
//!
//! - [`codec`]: CBOR frames of bounded size.
//! - [`handshake`]: mutual authentication with the mesh key when a link is opened.
//! - [`call`]: calls that an entry daemon forwards to the owner daemon of an endpoint.
//! - [`distribution`]: configuration updates from control replicas to subscribers.
//! - [`floor`]: queries from a daemon to the witnesses of its version floor.
//! - [`keys`]: requests from a daemon to a holder of idempotency keys.
//! - [`replica`]: messages between control replicas.
//! - [`rpc`]: envelope that matches replies to requests.
//!
//! The crate performs no I/O and reads no clock; see `docs/design.md`, section 3.

#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod call;
pub mod codec;
pub mod distribution;
pub mod floor;
pub mod handshake;
pub mod keys;
pub mod replica;
pub mod rpc;
