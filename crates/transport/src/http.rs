//! HTTP/1.1 for callers, upstreams and operators.
//!
//! Bodies are buffered whole, up to a bound (`docs/design.md`, section 2.8).
//!
//! - [`server`]: accepts requests of callers.
//! - [`client`]: sends requests to upstreams, with a verdict for every failure.
//! - [`operator`]: serves a `tide` application to operators and announcing upstreams.
//! - [`headers`]: hop-by-hop headers, and conversion to and from the messages of calls.

pub mod client;
pub mod headers;
pub mod operator;

pub mod server;

mod adapter;
mod framing;
