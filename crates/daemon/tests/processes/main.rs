//! End-to-end tests with daemons in separate processes, most of them under injected failures.
//!
//! The number of concurrent tests is limited, because each of them starts many processes.

mod approvals;
mod basics;
mod evacuation;
mod floor;
mod leaving;
mod leaving_replies;
mod mass_restart;
mod replicas;
mod stopping;
mod support;
mod upstreams;
