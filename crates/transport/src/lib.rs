//! Network and storage I/O of sycamoreflow.
//!
//! - [`buffers`]: account of the memory that clients hold.
//! - [`link`]: authenticated WebSocket links between daemons.
//! - [`call_link`]: many calls in flight on one link.
//! - [`listen`]: listening TCP sockets.
//! - [`http`]: HTTP/1.1 for callers, upstreams and operators.
//! - [`storage`]: durable state of a control replica.

pub mod buffers;
pub mod call_link;
pub mod http;
pub mod link;
pub mod listen;
pub mod storage;
mod timer;
