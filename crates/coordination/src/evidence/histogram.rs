//! Latency histograms with fixed, logarithmically spaced buckets.

use serde::{Deserialize, Serialize};

/// Number of buckets. The last one also counts all longer latencies, from about 3.5 s on.
pub const BUCKETS: u8 = 64;
/// Buckets per doubling of the latency; each bucket is 19% wide.
pub const BUCKETS_PER_DOUBLING: u8 = 4;
/// Upper edge of the first bucket in microseconds.
const FIRST_EDGE_US: f64 = 64.0;

/// Numbers of calls by latency. Only non-empty buckets are stored and sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<u64>", into = "Vec<u64>")]
pub struct Histogram {
    /// Buckets with their counts, ordered by bucket; counts are positive.
    counts: Vec<(u8, u64)>,
}

impl Histogram {
    /// Counts a call with this latency in microseconds.
    pub fn record(&mut self, latency_us: u64) {
        self.add(bucket(latency_us), 1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for &(bucket, count) in &other.counts {
            self.add(bucket, count);
        }
    }

    /// Returns the difference between this cumulative histogram and an earlier one.
    pub fn since(&self, earlier: &Self) -> Self {
        let increase = |&(bucket, count): &(u8, u64)| {
            let more = count.saturating_sub(earlier.count(bucket));
            (more > 0).then_some((bucket, more))
        };
        Self {
            counts: self.counts.iter().filter_map(increase).collect(),
        }
    }

    /// Returns the number of calls in all buckets.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|(_, count)| count).sum()
    }

    /// Returns the number of calls in buckets above `bucket`.
    pub fn count_above(&self, bucket: u8) -> u64 {
        let above = self.counts.iter().filter(|(b, _)| *b > bucket);
        above.map(|(_, count)| count).sum()
    }

    /// Returns the lowest bucket such that at most the fraction `tail` of all calls is in higher
    /// buckets.
    pub fn quantile_bucket(&self, tail: f64) -> u8 {
        let allowed = (self.total() as f64 * tail) as u64;
        let mut above = 0;
        for &(bucket, count) in self.counts.iter().rev() {
            above += count;
            if above > allowed {
                return bucket;
            }
        }
        0
    }

    /// Returns the latency in microseconds that at most the fraction `tail` of all calls exceeds,
    /// accurate to the width of a bucket, or `None` if no call was counted.
    pub fn quantile_us(&self, tail: f64) -> Option<u64> {
        (!self.is_empty()).then(|| upper_edge_us(self.quantile_bucket(tail)) as u64)
    }

    /// Returns the mean latency in microseconds, accurate to the width of a bucket, or `None` if no
    /// call was counted.
    pub fn mean_us(&self) -> Option<f64> {
        let total = self.total();
        let sum = |&(bucket, count): &(u8, u64)| upper_edge_us(bucket) * count as f64;
        (total > 0).then(|| self.counts.iter().map(sum).sum::<f64>() / total as f64)
    }

    /// Returns the non-empty buckets with their counts, ordered by bucket.
    pub fn counts(&self) -> &[(u8, u64)] {
        &self.counts
    }

    /// Returns the number of non-empty buckets, which determines the encoded size.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no call was counted.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn count(&self, bucket: u8) -> u64 {
        let found = self.counts.binary_search_by_key(&bucket, |(b, _)| *b);
        found.map_or(0, |index| self.counts[index].1)
    }

    fn add(&mut self, bucket: u8, count: u64) {
        if count == 0 {
            return;
        }
        match self.counts.binary_search_by_key(&bucket, |(b, _)| *b) {
            Ok(index) => self.counts[index].1 = self.counts[index].1.saturating_add(count),
            Err(index) => self.counts.insert(index, (bucket, count)),
        }
    }
}

impl From<Vec<u64>> for Histogram {
    /// Reads pairs of bucket and count. Buckets out of range are counted in the last one, which
    /// bounds the memory used for received histograms.
    fn from(pairs: Vec<u64>) -> Self {
        let mut histogram = Self::default();
        for pair in pairs.chunks_exact(2) {
            histogram.add(pair[0].min(u64::from(BUCKETS - 1)) as u8, pair[1]);
        }
        histogram
    }
}

impl From<Histogram> for Vec<u64> {
    fn from(histogram: Histogram) -> Self {
        let pair = |(bucket, count): (u8, u64)| [u64::from(bucket), count];
        histogram.counts.into_iter().flat_map(pair).collect()
    }
}

/// Returns the bucket of a latency in microseconds.
pub fn bucket(latency_us: u64) -> u8 {
    let doublings = (latency_us.max(1) as f64 / FIRST_EDGE_US).log2();
    let bucket = (doublings * f64::from(BUCKETS_PER_DOUBLING)).ceil();
    bucket.clamp(0.0, f64::from(BUCKETS - 1)) as u8
}

/// Returns by how many buckets a latency moves at most if it grows to `percent` percent of its
/// value. Values below 100 count as 100.
pub fn slowdown_buckets(percent: u32) -> u8 {
    let doublings = (f64::from(percent.max(100)) / 100.0).log2();
    let buckets = (doublings * f64::from(BUCKETS_PER_DOUBLING)).ceil();
    buckets.clamp(0.0, f64::from(BUCKETS)) as u8
}

fn upper_edge_us(bucket: u8) -> f64 {
    FIRST_EDGE_US * (f64::from(bucket) / f64::from(BUCKETS_PER_DOUBLING)).exp2()
}
