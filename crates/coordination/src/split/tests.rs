use rstest::rstest;

use super::*;

fn parts(weights: &[u32]) -> Vec<WeightedService> {
    let names = ["a", "b", "c"];
    let parts = weights.iter().zip(names);
    parts
        .map(|(weight, name)| WeightedService {
            service: name.into(),
            weight: *weight,
        })
        .collect()
}

/// Guards against shares that hold only on average: after any number of requests, each service must
/// be within one request of its share.
#[rstest]
#[case::even(&[50, 50])]
#[case::skewed(&[90, 10])]
#[case::unused(&[100, 0])]
#[case::three(&[7, 2, 1])]
fn next_share(#[case] weights: &[u32]) {
    let parts = parts(weights);
    let total: u32 = weights.iter().sum();
    let mut counter = SplitCounter::default();
    let mut counts = vec![0_u32; parts.len()];
    for sent in 1..=200_u32 {
        let service = counter.next(&parts).unwrap();
        let index = parts.iter().position(|p| p.service == service).unwrap();
        counts[index] += 1;
        for (count, weight) in counts.iter().zip(weights) {
            let share = f64::from(sent * weight) / f64::from(total);
            assert!(
                (f64::from(*count) - share).abs() <= 1.0,
                "{counts:?} of {sent}"
            );
        }
    }
}

/// Guards against a choice when no part has a positive weight, or there are no parts at all.
#[test]
fn next_without_weight() {
    assert_eq!(SplitCounter::default().next(&parts(&[0, 0])), None);
    assert_eq!(SplitCounter::default().next(&[]), None);
}
