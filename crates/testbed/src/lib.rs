//! Stand-in upstreams, callers and whole meshes in one process, for examples and tests.
//!
//! The daemons are the real ones and talk over loopback sockets; only upstreams, callers and
//! operators are stand-ins.

pub mod caller;
pub mod mesh;
pub mod operator;
pub mod upstream;
