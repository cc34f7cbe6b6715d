//! Sockets of sycamoreflow.
//!
//! - [`link`]: authenticated WebSocket links between daemons.
//! - [`call_link`]: many calls in flight on one link.

#![cfg_attr(test, allow(clippy::unwrap_used))]

pub mod call_link;
pub mod link;
