//! Decision logic of sycamoreflow: replicated log, leases, distribution, routing and rollouts.
//!
//! All modules are sans-I/O: plain structs that take an event and the current time and return
//! actions, so that property tests can drive them on a virtual clock (`docs/design.md`, section 3).

pub mod admission;
pub mod buffers;
pub mod cold;
pub mod dedup;
pub mod departures;
pub mod distribution;
pub mod ejection;
pub mod evidence;
pub mod failover;
pub mod fingerprint;
pub mod floor;
pub mod full_load;
pub mod key_holders;
pub mod key_lease;
pub mod leases;
pub mod machine;
pub mod open_group;
pub mod pace;
pub mod pacing;
pub mod publication;
pub mod quota;
pub mod raft;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod shares;
pub mod shedding;
pub mod split;
pub mod startup;
pub mod steady_time;
pub mod stop;
pub mod suspect;
pub mod uplink;
