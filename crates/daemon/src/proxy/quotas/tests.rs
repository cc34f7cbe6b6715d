use async_std::task;
use sycamoreflow_coordination::quota::{Credit, Lease, SetNumber};
use sycamoreflow_state::config::{Quota, TenantConfig};
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_state::view::{Interest, Resource, ResourceKey};

use super::*;

const WAIT: Millis = Millis(140);

fn limited(account: &str) -> Quotas {
    let mut view = View::new(Interest::All);
    let tenant = TenantConfig {
        quota: Some(Quota {
            rate_per_s: 10,
            burst: 10,
        }),
        ..TenantConfig::with_weight(1)
    };
    let key = ResourceKey::Tenant(account.into());
    view.insert(key, Resource::Tenant(tenant).into());
    let quotas = Quotas::new(1);
    quotas.update(&view);
    quotas
}

/// Answers the next report with a lease without a rate, and credits.
async fn answer(quotas: &Quotas, account: &str, requests: u32) {
    let account = AccountId::of(&account.into());
    let report = quotas.next_report().await;
    quotas.apply(&QuotaGrants {
        incarnation: 1,
        at: report.at,
        set: SetNumber { term: 1, number: 1 },
        replaces: Some(report.set),
        leases: Some(vec![(account, Lease { rate: 0, burst: 5 })]),
        credits: vec![Credit { account, requests }],
    });
}

/// Guards against requests of unlimited accounts that wait for the leader.
#[test]
fn admit_without_quota() {
    let quotas = limited("grocers");
    let permission = task::block_on(quotas.admit(&"exporters".into(), Millis(0)));
    assert!(permission.is_ok_and(|p| p.granted.is_none()));
    assert_eq!(quotas.holder.lock().next_report(), None);
}

/// Guards against a request that isn't reported at once or misses the answer, and against a permit
/// that is lost although the request has not run.
#[test]
fn admit_waiting() {
    let quotas = limited("grocers");
    let account = "grocers".into();
    task::block_on(async {
        let admitted = quotas.admit(&account, WAIT);
        let (admitted, ()) = futures::join!(admitted, answer(&quotas, "grocers", 2));
        let not_run: Result<()> = Err(Failure::not_run(Reason::Overloaded));
        admitted.expect("a credit was granted").end(&not_run);
        for _ in 0..2 {
            let again = quotas.admit(&account, Millis(0)).await;
            again.expect("a credit is left").end(&Ok(()));
        }
        assert!(quotas.admit(&account, Millis(0)).await.is_err());
    });
}

/// Guards against a request that waits for longer than it can, and then still counts as waiting.
#[test]
fn admit_without_answer() {
    let quotas = limited("grocers");
    let waited = task::block_on(quotas.admit(&"grocers".into(), Millis(20)));
    assert!(waited.is_err());
    let report = task::block_on(quotas.next_report());
    assert_eq!(report.accounts[0].asked, 1);
    assert_eq!(report.accounts[0].waiting, 0);
}
