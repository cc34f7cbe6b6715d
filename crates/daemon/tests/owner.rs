//! The owner role of a daemon that is leaving.

use std::net::SocketAddr;

use std::sync::Arc;

use async_std::channel;
use sycamoreflow_daemon::clock;
use sycamoreflow_daemon::proxy::crashes::Crashes;
use sycamoreflow_daemon::proxy::owner::{Owner, OwnerLimits};
use sycamoreflow_protocol::call::{Call, RequestHead};
use sycamoreflow_state::endpoint::Announcement;
use sycamoreflow_state::ids::Millis;
use sycamoreflow_state::verdict::{Failure, Reason};
use sycamoreflow_transport::http::client::{Client, Limits};

/// Guards against a leaving daemon that takes new work again because its upstream, once idle and
/// removed, renews its announcement.
#[async_std::test]
async fn deliver_announced_while_draining() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (urgent_report, _reports) = channel::bounded(1);
    let owner = Owner::new(
        "sfax-a-1".into(),
        "sfax-a".into(),
        address,
        OwnerLimits {
            max_wait: Millis(100),
            queue_per_slot: 4,
            adapts: true,
        },
        Client::new(Limits::default()),
        Arc::new(Crashes::new("sfax-a-1".into(), 1, urgent_report)),
    );
    let announcement = |slots| Announcement {
        service: "orders".into(),
        version: "v1".into(),
        address,
        slots,
        health_path: None,
        load_path: None,
    };
    owner.announce(announcement(4));
    owner.drain();
    assert!(owner.expire(), "an idle upstream that leaves is removed");
    for slots in [4, 8] {
        owner.announce(announcement(slots));
        let call = Call {
            id: 1,
            remaining_ms: 1_000,
            service: "orders".into(),
            version: "v1".into(),
            route: "read-orders".into(),
            tenant: "default".into(),
            attempt: 0,
            key: None,
            fingerprint: None,
            urgency: Default::default(),
            caller: None,
            head: RequestHead {
                method: "GET".to_owned(),
                path_and_query: "/orders".to_owned(),
                headers: Vec::new(),
            },
            body: Vec::new(),
        };
        let deadline = clock::now().after(Millis(1_000));
        let refused = owner.deliver(&call, deadline).await;
        assert_eq!(refused.err(), Some(Failure::not_run(Reason::Draining)));
    }
}
