//! Domain types of sycamoreflow: identifiers, the answers file, the configuration generated from
//! it, the view that a proxy holds, and the verdict on whether a request may have been executed.
//!
//! This is the lowest layer of the workspace. It performs no I/O, reads no clock and uses no
//! random numbers; see `docs/design.md`, section 3.

pub mod answers;
pub mod config;
pub mod endpoint;
pub mod generate;
pub mod ids;
pub mod operator;
pub mod plan;
pub mod rollout;
pub mod verdict;
pub mod view;
