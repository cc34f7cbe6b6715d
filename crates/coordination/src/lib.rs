//! Placeholder overview.

pub mod admission;
pub mod dedup;
pub mod ejection;
pub mod fingerprint;
pub mod retry;
pub mod routing;
pub mod suspect;
