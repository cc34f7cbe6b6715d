//! End-to-end tests of daemons that run as processes of their own and fail in various ways.
//!
//! Few tests run at the same time, since each of them starts many processes.

mod approvals;
mod basics;
mod floor;
mod herd;
mod leaving;
mod replicas;
mod support;
mod upstreams;
