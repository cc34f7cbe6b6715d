//! The daemon of sycamoreflow: proxy, control replica and operator interface.
//!
//! [`Daemon::start`] runs all components of one daemon in this process; `sycamoreflowd` is a thin
//! wrapper around it. This crate and the transport crate own the sockets, timers and tasks; the
//! coordination crate makes the decisions (`docs/design.md`, section 3).

pub mod announce_api;
pub mod clock;
pub mod control;
mod daemon;
pub mod floor;
mod memory;
pub mod planned_stop;
pub mod program;
pub mod proxy;
pub mod replicas;
pub mod rpc;
pub mod settings;
pub mod subscriber;
pub mod telemetry;
pub mod traffic;

pub use daemon::{Addresses, Daemon};
