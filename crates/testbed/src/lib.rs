//! Stand-in upstreams and callers, and whole meshes in one process or in one process per daemon,
//! for examples and tests.
//!
//! The daemons are the real ones and talk over loopback sockets; only upstreams, callers and
//! operators are stand-ins.

pub mod caller;
pub mod mesh;
pub mod operator;
pub mod process;
pub mod upstream;
