//! Log odds of a fault by the latencies of calls.
//!
//! A fault makes a fraction of the calls slower by a factor. Hosts differ in speed too, but a slow
//! host is slower for all of its calls. The evaluation therefore compares two hypotheses: the
//! latencies of an endpoint are distributed like those of a single endpoint of the stable version,
//! shifted on a logarithmic scale by the speed of its host; or they are a mixture of such calls and
//! slower ones.
//!
//! The reference distribution is that of one endpoint of the stable version: among the faster half,
//! the one with the least variation. The latencies of all its endpoints together would be wrong as
//! soon as one becomes slow: calls of the candidate that are several times slower would match those
//! of the slow endpoint. Endpoints that fail more often than others are excluded, because their
//! slowest calls have reached a deadline.

use std::ops::RangeInclusive;

use super::super::histogram::{BUCKETS, BUCKETS_PER_DOUBLING, Histogram};
use super::super::sequential::log_sum_exp;
use super::super::{GROUPS, GroupEvidence, VersionEvidence};
use super::{host_likelihood, log_mean_exp};

/// Factors by which a fault makes calls slower, in buckets: 2.8, 4 and 8 times.
const SLOWDOWNS: [usize; 3] = [6, 8, 12];
/// Fractions of the calls that a fault makes slower. A fault may also make all of them slower,
/// which appears as a slowdown of all hosts beyond the permitted one.
const SLOWED_FRACTIONS: [f64; 3] = [0.25, 0.5, 0.75];
const PARTIAL_FAULT_COUNT: usize = SLOWDOWNS.len() * SLOWED_FRACTIONS.len();
/// Minimum number of calls with a known latency for an endpoint of the stable version to be used.
const MIN_HOST_CALLS: u64 = 25;
/// Minimum fraction of the stable version's calls that such endpoints must have.
const MIN_KNOWN_FRACTION: f64 = 0.8;
/// Maximum excess of an endpoint's error ratio over that of the best endpoint, up to which its
/// latencies are used.
const MAX_EXTRA_FAILURES: f64 = 0.05;
/// Fraction of the reference endpoint's calls that count as slow in the numbers shown to operators.
const SLOW_TAIL: f64 = 0.05;
/// Standard deviation of the speed of hosts, in buckets: a factor of 1.5.
const SPEED_DEVIATION: f64 = 2.5;
/// Offset of the fastest host considered, four times as fast as usual, in buckets.
const FASTEST_HOST: i32 = -2 * BUCKETS_PER_DOUBLING as i32;
/// Inverse of the upper fraction of the permitted slowdown in which a slowdown of all calls may
/// already be a fault, since the hosts of the candidate may be faster than the others.
const OVERLAP_DIVISOR: i32 = 2;
/// Smallest permitted slowdown that can be distinguished from differences between hosts, 1.7 times,
/// in buckets.
const MIN_SLOWDOWN: i32 = 3;
/// Largest slowdown considered beyond the permitted one, 16 times slower, in buckets.
const MAX_EXCESS_SLOWDOWN: i32 = 4 * BUCKETS_PER_DOUBLING as i32;
/// Probability of a bucket that is empty in the reference distribution. It prevents a single
/// unusually long call from determining the result.
const UNSEEN_PROBABILITY: f64 = 0.002;
/// Number of distinguished offsets from the median.
const OFFSET_COUNT: usize = 2 * BUCKETS as usize + 1;
/// Index of the offset zero.
const MEDIAN_INDEX: usize = BUCKETS as usize;

/// Logarithms of probabilities, indexed by the offset from the median plus [`MEDIAN_INDEX`].
type LogProbabilities = [f64; OFFSET_COUNT];

/// Logarithms of probabilities by offset from the median latency of a host.
struct Likelihood {
    /// Probability that a call takes this long.
    ended: LogProbabilities,
    /// Probability that a call takes at least this long, for calls that have not ended.
    waiting: LogProbabilities,
}

/// Latencies of both versions on one route, or on several routes together.
#[derive(Clone, Copy, Debug)]
pub struct Latencies<'a> {
    /// Calls of the stable version over the same time as those of the candidate.
    pub stable: &'a VersionEvidence,
    /// Earlier calls of the stable version.
    pub earlier_stable: &'a VersionEvidence,
    /// Calls of the candidate.
    pub candidate: &'a VersionEvidence,
    /// Calls of the candidate that have not ended, by how long they have waited.
    pub waiting: &'a VersionEvidence,
}

/// Returns the log odds of a fault, or `None` if the stable version has too few calls for a
/// comparison. `max_shift` is the highest permitted slowdown in buckets.
pub fn latency_odds(latencies: &Latencies<'_>, max_shift: u8) -> Option<f64> {
    let reference = Reference::new(latencies)?;
    if !latencies.candidate.has_latency() && !latencies.waiting.has_latency() {
        return Some(0.0);
    }
    let usual = reference.likelihood(0, 0.0);
    let partial = std::array::from_fn::<Likelihood, PARTIAL_FAULT_COUNT, _>(|index| {
        let fraction = SLOWED_FRACTIONS[index % SLOWED_FRACTIONS.len()];
        reference.likelihood(SLOWDOWNS[index / SLOWED_FRACTIONS.len()], fraction)
    });
    let max_shift = i32::from(max_shift).max(MIN_SLOWDOWN);
    let permitted = speed_prior(FASTEST_HOST..=max_shift, 0);
    let excessive = speed_prior(
        max_shift - max_shift / OVERLAP_DIVISOR..=max_shift + MAX_EXCESS_SLOWDOWN,
        max_shift + 1,
    );
    let mut faultless = 0.0;
    let mut all_slow = 0.0;
    let mut some_slow = [0.0; PARTIAL_FAULT_COUNT];
    let none = Histogram::default();
    for index in 0..GROUPS {
        let [ended, waiting] = [latencies.candidate, latencies.waiting]
            .map(|version| version.groups().get(index).map_or(&none, |g| &g.latency));
        let calls = ended.total() + waiting.total();
        if calls == 0 {
            continue;
        }
        // The fewer calls the reference distribution is based on, the less the calls count.
        let weight = reference.calls / (reference.calls + calls as f64);
        let log = |likelihood: &Likelihood, speeds: &[(i32, f64)]| {
            let logs = speeds.iter().map(|(speed, log_prior)| {
                let median_bucket = reference.median + speed;
                let calls = log_likelihood_at(&likelihood.ended, ended, median_bucket)
                    + log_likelihood_at(&likelihood.waiting, waiting, median_bucket);
                log_prior + weight * calls
            });
            log_sum_exp(logs)
        };
        let all = log(&usual, &excessive);
        let some = partial.each_ref().map(|fault| log(fault, &permitted));
        faultless += host_likelihood(log(&usual, &permitted), &[all, log_mean_exp(&some)]);
        all_slow += all;
        for (sum, some) in some_slow.iter_mut().zip(some) {
            *sum += some;
        }
    }
    Some(log_mean_exp(&[all_slow, log_mean_exp(&some_slow)]) - faultless)
}

/// Numbers of slow calls and of all calls, to be shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowCalls {
    /// Calls of the candidate, including calls that are still waiting and slow already.
    pub candidate: (u64, u64),
    /// Calls of the endpoint of the stable version that the candidate is compared with.
    pub stable: (u64, u64),
}

/// Counts the calls that take longer than the slowest twentieth of the calls of the reference
/// endpoint. Returns `None` if the stable version has too few calls for a comparison.
pub fn slow_calls(latencies: &Latencies<'_>) -> Option<SlowCalls> {
    let host = Reference::new(latencies)?.host;
    let threshold = host.quantile_bucket(SLOW_TAIL);
    let ended = latencies.candidate.latency();
    let waiting = latencies.waiting.latency().count_above(threshold);
    Some(SlowCalls {
        candidate: (
            ended.count_above(threshold) + waiting,
            ended.total() + waiting,
        ),
        stable: (host.count_above(threshold), host.total()),
    })
}

/// Returns the log likelihood of latencies on a host with the given median bucket.
fn log_likelihood_at(
    distribution: &LogProbabilities,
    latency: &Histogram,
    median_bucket: i32,
) -> f64 {
    let log = |&(bucket, count): &(u8, u64)| {
        let offset = i32::from(bucket) - median_bucket + MEDIAN_INDEX as i32;
        count as f64 * distribution[offset.clamp(0, OFFSET_COUNT as i32 - 1) as usize]
    };
    latency.counts().iter().map(log).sum()
}

/// Reference latencies of the stable version.
struct Reference {
    /// Median bucket of a host of usual speed.
    median: i32,
    /// Probability by offset from the median.
    distribution: [f64; OFFSET_COUNT],
    /// Latencies of the endpoint that the distribution is taken from.
    host: Histogram,
    /// Number of calls that the distribution is based on.
    calls: f64,
}

impl Reference {
    /// Takes the usual speed of hosts from the calls of the same time, because it changes with
    /// load, and the distribution from all calls. Returns `None` while too few endpoints have
    /// enough calls.
    fn new(latencies: &Latencies<'_>) -> Option<Self> {
        let mut all = latencies.earlier_stable.clone();
        all.merge(latencies.stable);
        let hosts = reference_hosts(&all)?;
        let (_, least_variable) = hosts[..(hosts.len() / 2).max(1)]
            .iter()
            .min_by(|(_, a), (_, b)| mean_deviation(a).total_cmp(&mean_deviation(b)))?;
        let same_time = self::reference_hosts(latencies.stable);
        let median = median_of_medians(same_time.as_deref().unwrap_or(&hosts));
        Some(Self {
            median: i32::from(median),
            distribution: smoothed_distribution(least_variable),
            host: (*least_variable).clone(),
            calls: least_variable.total() as f64,
        })
    }

    /// Returns the likelihood if `fraction` of the calls is slower by `slower` buckets.
    fn likelihood(&self, slower: usize, fraction: f64) -> Likelihood {
        let share = std::array::from_fn::<f64, OFFSET_COUNT, _>(|offset| {
            let slowed = offset
                .checked_sub(slower)
                .map_or(0.0, |at| self.distribution[at]);
            (1.0 - fraction) * self.distribution[offset] + fraction * slowed
        });
        let mut longer = 0.0;
        let mut waiting = [0.0; OFFSET_COUNT];
        for (offset, share) in share.iter().enumerate().rev() {
            longer += share;
            waiting[offset] = (longer + UNSEEN_PROBABILITY).ln();
        }
        Likelihood {
            ended: share.map(|share| (share + UNSEEN_PROBABILITY).ln()),
            waiting,
        }
    }
}

/// Returns the endpoints with enough calls that don't fail more often than others, ordered by their
/// median bucket. An endpoint with many failures is excluded because its answers are only those
/// that arrived in time.
///
/// Returns `None` while the endpoints with enough calls have too small a fraction of all calls: the
/// first of them may be the only slow one.
fn reference_hosts(version: &VersionEvidence) -> Option<Vec<(u8, &Histogram)>> {
    let groups = version.groups().iter();
    let all: u64 = groups.clone().map(|group| group.latency.total()).sum();
    let known = groups.filter(|group| group.latency.total() >= MIN_HOST_CALLS);
    let calls: u64 = known.clone().map(|group| group.latency.total()).sum();
    if calls == 0 || (calls as f64) < MIN_KNOWN_FRACTION * all as f64 {
        return None;
    }
    let error_ratio = |group: &GroupEvidence| {
        let calls = group.counts.calls.max(1) as f64;
        group.counts.errors() as f64 / calls
    };
    let lowest = known.clone().map(error_ratio).fold(f64::INFINITY, f64::min);
    let mut hosts: Vec<(u8, &Histogram)> = known
        .filter(|group| error_ratio(group) <= lowest + MAX_EXTRA_FAILURES)
        .map(|group| (group.latency.quantile_bucket(0.5), &group.latency))
        .collect();
    hosts.sort_by_key(|(median, _)| *median);
    Some(hosts)
}

/// Returns the median of the endpoints' median buckets.
fn median_of_medians(hosts: &[(u8, &Histogram)]) -> u8 {
    hosts
        .get(hosts.len().saturating_sub(1) / 2)
        .map_or(0, |(median, _)| *median)
}

/// Returns the mean distance from the median in buckets.
fn mean_deviation(latency: &Histogram) -> f64 {
    let median = f64::from(latency.quantile_bucket(0.5));
    let distance = |&(bucket, count): &(u8, u64)| (f64::from(bucket) - median).abs() * count as f64;
    latency.counts().iter().map(distance).sum::<f64>() / latency.total().max(1) as f64
}

/// Returns the distribution of latencies by offset from their median, smoothed over neighbouring
/// buckets.
fn smoothed_distribution(latency: &Histogram) -> [f64; OFFSET_COUNT] {
    const KERNEL: [(i32, f64); 3] = [(-1, 0.25), (0, 0.5), (1, 0.25)];
    let median = i32::from(latency.quantile_bucket(0.5));
    let mut distribution = [0.0; OFFSET_COUNT];
    for &(bucket, count) in latency.counts() {
        let share = count as f64 / latency.total() as f64;
        for (shift, weight) in KERNEL {
            let offset = i32::from(bucket) - median + shift + MEDIAN_INDEX as i32;
            distribution[offset.clamp(0, OFFSET_COUNT as i32 - 1) as usize] += weight * share;
        }
    }
    distribution
}

/// Returns the host speeds in `range`, in buckets relative to the usual speed (positive is slower),
/// with the logarithms of their prior probabilities, which are normally distributed around `mean`.
fn speed_prior(range: RangeInclusive<i32>, mean: i32) -> Vec<(i32, f64)> {
    let density = |speed: i32| {
        let deviation = f64::from(speed - mean) / SPEED_DEVIATION;
        (-0.5 * deviation.powi(2)).exp()
    };
    let total: f64 = range.clone().map(density).sum();
    range
        .map(|speed| (speed, (density(speed) / total).ln()))
        .collect()
}
