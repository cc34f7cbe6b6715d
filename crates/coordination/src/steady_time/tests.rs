use proptest::prelude::*;
use rstest::rstest;

use super::*;

const START: u64 = 1_790_000_000_000;

proptest! {
    /// Answers a wall clock that jumps ahead and back by seconds, repeatedly: no duration may
    /// change by more than the correction, and the time may never go back.
    #[test]
    fn read_jumping_clock(
        steps in proptest::collection::vec((1..400u64, -5_000..5_000i64), 1..200),
    ) {
        let (mut now, mut last) = (1_000, START);
        let mut time = SteadyTime::new(Millis(now), Millis(START));
        for (elapsed, jump) in steps {
            now += elapsed;
            let wall = START.saturating_add_signed(jump) + (now - 1_000);
            let read = time.read(Millis(now), Millis(wall)).0;
            prop_assert!(read >= last);
            last = read;
            let error = (read - START).abs_diff(now - 1_000);
            prop_assert!(error <= (now - 1_000) / CORRECTION_DIVISOR, "{error} ms off");
        }
    }
}

/// Guards against a process that keeps the wrong time with which it started: it reaches the right
/// one, however often it is read.
#[rstest]
#[case::ahead(2_000, 10)]
#[case::behind(-2_000, 10)]
#[case::rarely_read(-2_000, 5_000)]
fn read_after_correction(#[case] wrong_by: i64, #[case] interval: u64) {
    let wrong = START.saturating_add_signed(wrong_by);
    let mut time = SteadyTime::new(Millis(1_000), Millis(wrong));
    let mut read = Millis(0);
    let end = 201_000 + interval;
    for now in (1_000..=end).step_by(interval as usize) {
        let wall = Millis(START + now - 1_000);
        read = time.read(Millis(now), wall);
        if now + interval > end {
            assert_eq!(read, wall);
        }
    }
    assert!(read > Millis(START));
}
