//! Decision logic of sycamoreflow, without I/O: the replicated log and its state machine.
//!
//! No module reads a clock, opens a socket or draws unseeded random numbers; see
//! `docs/design.md`, section 3.

pub mod machine;
pub mod raft;
