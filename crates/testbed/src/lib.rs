//! Meshes for examples and tests, with simulated upstreams, callers and operators.
//!
//! A mesh runs in one process ([`mesh`]) or in one process per daemon ([`process`]). Its daemons
//! run the production code and communicate over loopback sockets.

pub mod caller;
pub mod mesh;
pub mod operator;
pub mod process;
pub mod upstream;
