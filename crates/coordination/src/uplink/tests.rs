use rstest::rstest;

use super::*;

const BYTES_PER_S: u64 = 1_375_000;

/// Plays a burst of file downloads of 90 kB, `per_s` a second for 5 s, each with 82 ms of work, and
/// returns the longest time for which the link was busy and the share of downloads that ran.
fn play_burst(bytes_per_s: u64, per_s: u64) -> (Millis, f64) {
    let route = RouteName::from("press-file");
    let mut uplink = Uplink::new(Millis(0), bytes_per_s);
    let first = uplink.admit(Millis(0), &route).unwrap();
    uplink.ended(Millis(0), &route, first, Some(90_000));
    let mut running: Vec<(u64, Reserved)> = Vec::new();
    let (mut offered, mut ran, mut busiest) = (0_u32, 0_u32, Millis(0));
    for now in 1_000..6_000 {
        for (_, reserved) in running.extract_if(.., |(end, _)| *end <= now) {
            uplink.ended(Millis(now), &route, reserved, Some(90_000));
        }
        if now % (1_000 / per_s) == 0 {
            offered += 1;
            if let Some(reserved) = uplink.admit(Millis(now), &route) {
                running.push((now + 82, reserved));
                ran += 1;
            }
        }
        busiest = busiest.max(uplink.busy_for(Millis(now)));
    }
    (busiest, f64::from(ran) / f64::from(offered))
}

/// Answers a burst of downloads of 2.5 times their usual rate at hosts with slow links: small
/// answers must not wait behind them for longer than [`MAX_BUSY_TIME`], the link must stay in use,
/// and downloads that fit must not be refused.
#[rstest]
#[case::usual(7, 1.0, 1.0)]
#[case::burst(20, 0.6, 0.95)]
fn admit_downloads(#[case] per_s: u64, #[case] least: f64, #[case] most: f64) {
    let (busiest, share) = play_burst(BYTES_PER_S, per_s);
    assert!(busiest <= MAX_BUSY_TIME, "{busiest:?}");
    assert!((least..=most).contains(&share), "{share}");
}

/// Guards against a deployment without a stated link that refuses large answers.
#[test]
fn admit_without_bandwidth() {
    assert_eq!(play_burst(0, 50), (Millis(0), 1.0));
}

/// Guards against a file larger than the limit that can never be sent, and against small answers
/// that are refused because of large ones.
#[test]
fn admit_on_busy_link() {
    let (huge, small) = (
        RouteName::from("archive"),
        RouteName::from("template-check"),
    );
    let mut uplink = Uplink::new(Millis(0), BYTES_PER_S);
    for (route, bytes) in [(&huge, 2_000_000), (&small, 900)] {
        let reserved = uplink.admit(Millis(0), route).unwrap();
        uplink.ended(Millis(0), route, reserved, Some(bytes));
    }
    assert!(uplink.admit(Millis(1_000), &huge).is_none());
    assert!(uplink.admit(Millis(1_000), &small).is_some());
    assert!(uplink.admit(Millis(3_000), &huge).is_some());
}

/// Guards against calls without an answer that take up the link for ever.
#[test]
fn ended_without_answer() {
    let route = RouteName::from("press-file");
    let mut uplink = Uplink::new(Millis(0), BYTES_PER_S);
    let first = uplink.admit(Millis(0), &route).unwrap();
    uplink.ended(Millis(0), &route, first, Some(150_000));
    let reserved = uplink.admit(Millis(1_000), &route).unwrap();
    assert!(uplink.busy_for(Millis(1_000)) > Millis(100));
    uplink.ended(Millis(1_000), &route, reserved, None);
    assert_eq!(uplink.busy_for(Millis(1_000)), Millis(0));
}
