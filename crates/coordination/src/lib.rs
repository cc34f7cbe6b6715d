//! Placeholder overview.

pub mod evidence;
pub mod pacing;
pub mod rollout;
pub mod shares;
