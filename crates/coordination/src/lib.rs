//! Placeholder overview.

pub mod admission;
pub mod ejection;
pub mod retry;
pub mod routing;
