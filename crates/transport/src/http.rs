//! HTTP/1.1 for callers, upstreams and operators.
//!
//! Bodies are buffered completely, up to a size limit (`docs/design.md`, section 2.8).
//!
//! - [`server`]: serves requests of callers.
//! - [`client`]: sends requests to upstreams and returns a verdict with every failure.
//! - [`operator`]: serves a `tide` application to operators and announcing upstreams.
//! - [`headers`]: removes hop-by-hop headers, and converts headers to and from call messages.

pub mod client;
pub mod headers;
pub mod operator;

pub mod server;

mod adapter;
mod framing;
