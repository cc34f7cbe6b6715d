//! Placeholder overview.
