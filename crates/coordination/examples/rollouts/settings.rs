//! Settings of the simulated rollout.

use sycamoreflow_state::config::{FinishTime, LowTraffic, RolloutRule, ServiceConfig, Share};
use sycamoreflow_state::ids::Millis;

/// Time from approval within which the candidate is to receive all traffic.
pub(crate) const FINISH: Millis = Millis(300_000);
/// Length of the watch period, for which the old version is kept after that.
pub(crate) const WATCH: Millis = Millis(60_000);

/// Returns the configuration of the simulated service with a version.
pub(crate) fn service(version: &str) -> ServiceConfig {
    ServiceConfig {
        version: version.into(),
        callers: Vec::new(),
        rollout: RolloutRule {
            steps: vec![
                Share::percent(1),
                Share::percent(5),
                Share::percent(25),
                Share::percent(50),
                Share::ALL,
            ],
            finish: FinishTime::Within(FINISH),
            watch: WATCH,
            max_extra_failures: Share::percent(1),
            max_slowdown_percent: 200,
            false_alarm: Share::percent(1),
            low_traffic: LowTraffic::Stay,
            max_exposure: None,
            exposure_slack: 0,
        },
        min_endpoints: Share::percent(50),
        retry_budget: Share::percent(10),
        cold_start: None,
    }
}
