//! Domain types of sycamoreflow: identifiers, answers, generated configuration, the view that a
//! proxy holds, and the verdict that says whether a request may have run.
//!
//! This is the lowest layer. It performs no I/O, reads no clock and draws no random numbers; see
//! `docs/design.md`, section 3.

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
