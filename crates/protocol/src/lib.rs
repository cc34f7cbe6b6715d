//! Messages between the processes of sycamoreflow and their codec.
//!
//! - [`codec`]: CBOR frames of bounded size.
//! - [`handshake`]: mutual proof of knowledge of the mesh key.
//! - [`call`]: messages by which an entry daemon runs requests at an owner daemon.
//! - [`distribution`]: messages between subscribers and control replicas.
//! - [`floor`]: messages between a daemon and the witnesses of its version floor.
//! - [`keys`]: messages between a daemon and a holder of idempotency keys.
//! - [`replica`]: messages between control replicas.
//! - [`rpc`]: envelopes for requests with one reply each.
//!
//! This layer performs no I/O and reads no clock; see `docs/design.md`, section 3.

#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod call;
pub mod codec;
pub mod distribution;
pub mod floor;
pub mod handshake;
pub mod keys;
pub mod replica;
pub mod rpc;
