//! Tests of the estimates at one host under the patterns that shared hosts show: short slow
//! periods, drift, a cold start, and a single slow route.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::*;

const USUAL: f64 = 190_000.0;
/// Time between calls in milliseconds.
const INTERVAL: u64 = 70;
const CALLS: u64 = 600;

/// Sums over all calls of a simulated host, in microseconds.
#[derive(Default)]
struct Sums {
    calls: f64,
    /// Actual duration.
    duration: f64,
    /// Duration at usual pace, as estimated when the call ended.
    usual: f64,
    /// Error of the forecast at the start of the call.
    error: f64,
    /// Error of a forecast that knows the usual duration only.
    error_without_pace: f64,
}

/// Runs calls of one route on a host whose pace in percent is a function of the time in
/// milliseconds. Every answer reports the pace at its end.
fn simulate(pace: impl Fn(u64) -> u32) -> Sums {
    let route = RouteName::from("slots");
    let (mut history, mut times) = (PaceHistory::default(), RouteTimes::default());
    let mut sums = Sums::default();
    let mut running: Vec<(u64, u64, f64)> = Vec::new();
    for now in 0..CALLS * INTERVAL {
        let ended = running.extract_if(.., |(end, ..)| *end == now);
        for (end, start, forecast) in ended {
            let duration = Micros::from(Millis(end - start));
            history.observe(Millis(now), Pace::from_percent(pace(now)));
            let usual = history.usual_time(Millis(now), duration);
            times.record(&route, usual);
            sums.calls += 1.0;
            sums.duration += duration.0 as f64;
            sums.usual += usual.0 as f64;
            sums.error += (forecast - duration.0 as f64).abs();
            sums.error_without_pace += (USUAL - duration.0 as f64).abs();
        }
        if now % INTERVAL != 0 {
            continue;
        }
        let known = match times.get(&route) {
            Micros(0) => USUAL,
            Micros(known) => known as f64,
        };
        let forecast = history.stretched(Millis(now), known);
        let (mut left, mut end) = (USUAL / 1_000.0, now);
        while left > 0.0 {
            left -= 100.0 / f64::from(pace(end));
            end += 1;
        }
        running.push((end, now, forecast));
    }
    sums
}

/// Returns the pace of a host that is 2.5 times slower for a sixth of the time, in periods of 0.6 s.
fn square_noise(seed: u64) -> impl Fn(u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let slow: Vec<bool> = (0..200).map(|_| rng.random_bool(1.0 / 6.0)).collect();
    move |at| if slow[at as usize / 600] { 250 } else { 100 }
}

/// Guards against forecasts that take a slow period for a lasting state or ignore it, and against
/// slow periods that raise the estimate of the usual service time.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn stretched_square_noise(#[case] seed: u64) {
    let sums = simulate(square_noise(seed));
    let (usual, measured) = (sums.usual / sums.calls, sums.duration / sums.calls);
    assert!(measured > USUAL * 1.1, "{measured}");
    assert!((usual / USUAL - 1.0).abs() < 0.08, "{usual}");
    let (error, without) = (sums.error, sums.error_without_pace);
    assert!(error < without * 0.9, "{error} {without}");
}

/// Guards against forecasts that lag behind a host that slowly gets slower.
#[test]
fn stretched_drift() {
    let sums = simulate(|at| 100 + (at / 500).min(60) as u32);
    assert!(
        sums.error < sums.duration * 0.15,
        "{}",
        sums.error / sums.duration
    );
    assert!(sums.error < sums.error_without_pace * 0.5);
}

/// Guards against use of a report after the period that it describes.
#[rstest]
#[case::fresh(0, 2.35, 2.5)]
#[case::old(600, 1.4, 1.6)]
#[case::outdated(2_000, 1.0, 1.0)]
fn stretched_age(#[case] age: u64, #[case] min: f64, #[case] max: f64) {
    let report = PaceReport {
        pace: Pace::from_percent(250),
        age: Millis(age),
    };
    let factor = report.stretched(55_000.0) / 55_000.0;
    assert!((min..=max).contains(&factor), "{factor}");
}

/// Guards against an estimate that keeps the latency of a cold start, which a report of the pace
/// does not contain.
#[test]
fn record_cold_start() {
    let route = RouteName::from("slots");
    let mut times = RouteTimes::default();
    let history = PaceHistory::default();
    for call in 0..60_u64 {
        let latency = Micros(if call < 15 { 380_000 } else { 190_000 });
        let now = Millis(1_000 + call * 200);
        times.record(&route, history.usual_time(now, latency));
    }
    let estimate = times.get(&route).0 as f64;
    assert!((estimate / USUAL - 1.0).abs() < 0.05, "{estimate}");
}

/// Guards against one slow route that raises the estimates of the others.
#[test]
fn record_one_slow_route() {
    let (fast, slow) = (RouteName::from("slots"), RouteName::from("reports"));
    let mut times = RouteTimes::default();
    for _ in 0..60 {
        times.record(&fast, Micros(50_000));
        times.record(&slow, Micros(750_000));
    }
    assert_eq!(times.get(&fast), Micros(50_000));
    assert_eq!(times.get(&slow), Micros(750_000));
    assert_eq!(times.get(&"unknown".into()), Micros(0));
}
