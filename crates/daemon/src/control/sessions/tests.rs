use std::thread;

use sycamoreflow_state::ids::{ConfigVersion, EndpointVersion};
use sycamoreflow_state::view::View;

use super::*;
use crate::control::replica::{Event, event_queue};

const NEW_TERM: u64 = 2;

fn view(term: u64) -> View {
    let mut view = View::new(Interest::All);
    view.set_version(version(term));
    view
}

fn version(term: u64) -> ViewVersion {
    ViewVersion {
        config: ConfigVersion(3),
        endpoints: EndpointVersion::first(term),
    }
}

/// Returns a hub that distributes the view of an earlier leader, and whose quorum confirms the
/// present one.
fn hub() -> Arc<Hub> {
    let (tx, events) = event_queue();
    thread::spawn(move || {
        while let Ok(event) = events.recv_timeout(Duration::from_secs(60)) {
            if let Event::ConfirmVersion(tx) = event {
                let _ = tx.send(Some(version(NEW_TERM)));
            }
        }
    });
    let hub = Arc::new(Hub::new(200, tx));
    hub.set_leader_known(true);
    hub.publish(view(NEW_TERM - 1));
    hub
}

/// Guards against a restarted daemon that learns its departures from the view of an earlier leader,
/// which may lack one that it has acknowledged, and against daemons with a view that wait for one.
#[async_std::test]
async fn admission_view_of_earlier_leader() {
    let hub = hub();
    let with_view = wait_for_admission(&hub, Some(version(1))).await;
    assert!(with_view.is_ok());
    let refused = wait_for_admission(&hub, None).await;
    assert!(matches!(refused, Err(FromReplica::NoQuorum)));
    hub.publish(view(NEW_TERM));
    let restarted = wait_for_admission(&hub, None).await;
    assert!(restarted.is_ok());
}
