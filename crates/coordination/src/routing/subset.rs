//! Bounded subsets of endpoints, chosen by rendezvous hashing.
//!
//! Every entry daemon ranks the endpoints by a hash of both identifiers and keeps those with the
//! lowest ranks. The subsets of many daemons cover the endpoints evenly except for random
//! variation, and adding or removing one endpoint changes each subset by at most one member.

use std::hash::{Hash, Hasher};

use sycamoreflow_state::ids::DaemonId;

/// The FNV-1a hash. The algorithm of the standard library's hasher may change between releases,
/// which would change all subsets at once.
struct Fnv(u64);

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        // FNV-1a mixes the last bytes poorly into the high bits, which determine the rank.
        let mixed = (self.0 ^ (self.0 >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        mixed ^ (mixed >> 33)
    }
}

/// Returns the rank of `endpoint` at `daemon`; lower ranks are kept first.
pub(super) fn rank(daemon: &DaemonId, endpoint: &DaemonId) -> u64 {
    let mut hasher = Fnv(0xcbf2_9ce4_8422_2325);
    daemon.hash(&mut hasher);
    endpoint.hash(&mut hasher);
    hasher.finish()
}

/// Sorts `members` by rank, keeps the `size` members with the lowest ranks, and returns the others.
pub(super) fn split(
    members: &mut Vec<usize>,
    size: usize,
    rank: impl Fn(usize) -> u64,
) -> Vec<usize> {
    members.sort_by_cached_key(|member| rank(*member));
    members.split_off(size.min(members.len()))
}
