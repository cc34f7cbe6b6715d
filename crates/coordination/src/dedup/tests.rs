#![allow(clippy::unwrap_used, reason = "a missing value fails the test")]

mod model;

use proptest::prelude::*;
use rstest::rstest;
use sycamoreflow_state::verdict::{Failure, Reason, Verdict};

use super::*;
use model::{Fault, Model};

fn key(name: &str) -> Key {
    Key {
        service: "orders".into(),
        tenant: "grocers".into(),
        key: name.into(),
    }
}

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&"grocers".into(), "POST", "/orders", body.as_bytes())
}

fn claim_id(daemon: &str, boot: u64, round: u32) -> ClaimId {
    let send = SendId {
        daemon: daemon.into(),
        boot,
        seq: 1,
    };
    ClaimId { send, round }
}

fn group() -> Group {
    Group {
        epoch: 1,
        holders: ["h0", "h1", "h2"].map(DaemonId::from).to_vec(),
    }
}

fn holder(cfg: HolderConfig) -> KeyHolder {
    KeyHolder::first_group("h0".into(), 1, group(), cfg)
}

fn claim(holder: &mut KeyHolder, now: u64, name: &str, id: &ClaimId, body: &str) -> ClaimReply {
    let request = KeyRequest::Claim {
        key: key(name),
        claim: id.clone(),
        fingerprint: fingerprint(body),
        epoch: 1,
    };
    match holder.handle(Millis(now), &request) {
        KeyReply::Claim(_, reply) => reply,
        other => panic!("unexpected reply {other:?}"),
    }
}

fn complete(name: &str, id: &ClaimId, answer: &[u8]) -> KeyRequest {
    KeyRequest::Complete {
        key: key(name),
        claim: id.clone(),
        fingerprint: fingerprint("f"),
        answer: ByteBuf::from(answer),
    }
}

fn granted(reply: &ClaimReply) -> bool {
    matches!(reply, ClaimReply::Granted(_))
}

/// Guards against wrong replies to a resend in each state of the first send: running, abandoned,
/// released and completed.
#[test]
fn holder_answers_resend() {
    let mut holder = holder(HolderConfig::default());
    let (first, second) = (claim_id("a", 1, 1), claim_id("b", 1, 1));
    assert!(granted(&claim(&mut holder, 0, "k", &first, "f")));
    assert!(granted(&claim(&mut holder, 0, "k", &first, "f")));
    assert_eq!(
        claim(&mut holder, 0, "k", &second, "f"),
        ClaimReply::Running
    );
    assert_eq!(
        claim(&mut holder, 0, "k", &second, "g"),
        ClaimReply::OtherRequest
    );
    holder.claimer_lost(&"a".into());
    assert_eq!(
        claim(&mut holder, 0, "k", &second, "f"),
        ClaimReply::Unresolved
    );
    let release = KeyRequest::Release {
        key: key("k"),
        claim: first.clone(),
    };
    holder.handle(Millis(0), &release);
    assert!(granted(&claim(&mut holder, 0, "k", &second, "f")));
    holder.handle(Millis(0), &complete("k", &second, b"answer"));
    let finished = ClaimReply::Finished(Some(ByteBuf::from(b"answer")));
    assert_eq!(claim(&mut holder, 0, "k", &first, "f"), finished);
    assert_eq!(
        claim(&mut holder, 0, "k", &first, "g"),
        ClaimReply::OtherRequest
    );
}

/// Guards against resends that wait for the answer of a send whose daemon has since restarted.
#[test]
fn holder_detects_restarted_claimer() {
    let mut holder = holder(HolderConfig::default());
    assert!(granted(&claim(
        &mut holder,
        0,
        "k",
        &claim_id("a", 1, 1),
        "f"
    )));
    let reply = claim(&mut holder, 0, "k", &claim_id("a", 2, 1), "f");
    assert_eq!(reply, ClaimReply::Unresolved);
}

/// Guards against a key of one tenant that matches an equal key of another tenant.
#[test]
fn holder_scopes_key_by_tenant() {
    let mut holder = holder(HolderConfig::default());
    assert!(granted(&claim(
        &mut holder,
        0,
        "k",
        &claim_id("a", 1, 1),
        "f"
    )));
    let other = KeyRequest::Claim {
        key: Key {
            tenant: "exporters".into(),
            ..key("k")
        },
        claim: claim_id("b", 1, 1),
        fingerprint: fingerprint("f"),
        epoch: 1,
    };
    let reply = holder.handle(Millis(0), &other);
    assert!(matches!(reply, KeyReply::Claim(_, ClaimReply::Granted(_))));
}

/// Guards against unbounded memory use, and against the eviction of records that are still needed.
#[test]
fn holder_full_refuses_new_only() {
    let mut holder = holder(HolderConfig {
        max_records: 3,
        max_answer_bytes: 10,
        ..HolderConfig::default()
    });
    for name in ["k0", "k1", "k2"] {
        assert!(granted(&claim(
            &mut holder,
            0,
            name,
            &claim_id("a", 1, 1),
            "f"
        )));
    }
    assert_eq!(
        claim(&mut holder, 0, "k3", &claim_id("a", 1, 1), "f"),
        ClaimReply::Full
    );
    assert_eq!(
        claim(&mut holder, 0, "k0", &claim_id("b", 1, 1), "f"),
        ClaimReply::Running
    );
    holder.handle(
        Millis(0),
        &complete("k0", &claim_id("a", 1, 1), b"12345678"),
    );
    holder.handle(
        Millis(0),
        &complete("k1", &claim_id("a", 1, 1), b"12345678"),
    );
    let kept = ClaimReply::Finished(Some(ByteBuf::from(b"12345678")));
    assert_eq!(claim(&mut holder, 0, "k0", &claim_id("b", 1, 1), "f"), kept);
    let without_answer = ClaimReply::Finished(None);
    assert_eq!(
        claim(&mut holder, 0, "k1", &claim_id("b", 1, 1), "f"),
        without_answer
    );
}

/// Guards against records that never expire, and against records that expire before the retention
/// period after their last change has passed.
#[test]
fn holder_expires_records() {
    let mut holder = holder(HolderConfig::default());
    claim(&mut holder, 0, "k", &claim_id("a", 1, 1), "f");
    holder.handle(Millis(5_000), &complete("k", &claim_id("a", 1, 1), b"x"));
    holder.tick(Millis(604_999));
    assert_eq!(holder.len(), 1);
    holder.tick(Millis(605_000));
    assert!(holder.is_empty());
}

/// Guards against grants before all pages of both other holders are copied, and against a holder
/// that never becomes ready because the others have lost their records too.
#[rstest]
#[case::copied(true)]
#[case::retention_passed(false)]
fn restarted_holder_waits(#[case] others_answer: bool) {
    let cfg = HolderConfig::default();
    let mut other = holder(cfg);
    for n in 0..2_500 {
        claim(&mut other, 0, &format!("k{n}"), &claim_id("a", 1, 1), "f");
    }
    let mut restarted = KeyHolder::without_records(Millis(0), "h2".into(), 2, group(), cfg);
    let new = claim_id("b", 1, 1);
    assert_eq!(
        claim(&mut restarted, 0, "k", &new, "f"),
        ClaimReply::NotReady
    );
    if !others_answer {
        assert_eq!(
            claim(&mut restarted, 599_999, "k", &new, "f"),
            ClaimReply::NotReady
        );
        assert!(granted(&claim(&mut restarted, 600_000, "k", &new, "f")));
        return;
    }
    for from in ["h0", "h1"].map(DaemonId::from) {
        assert!(!restarted.is_ready());
        let mut requests = restarted.copy_requests();
        let mut next = requests.pop().map(|(_, request)| request);
        while let Some(request) = next {
            let KeyReply::Page(page) = other.handle(Millis(1), &request) else {
                panic!("a ready holder must answer");
            };
            next = restarted.apply_copy_page(Millis(1), &from, &page);
        }
    }
    assert_eq!(restarted.len(), 2_500);
    assert_eq!(
        claim(&mut restarted, 1, "k9", &new, "f"),
        ClaimReply::Running
    );
    assert!(granted(&claim(&mut restarted, 1, "k", &new, "f")));
}

/// Guards against grants by a holder that was not a member in some epoch in between and therefore
/// lacks the records of that time.
#[rstest]
#[case::stays(&[(2, "h0")], true)]
#[case::skips_an_epoch(&[(3, "h0")], false)]
#[case::leaves(&[(2, "h9")], false)]
#[case::joins_again(&[(2, "h9"), (3, "h0")], false)]
#[case::outdated(&[(1, "h9")], true)]
fn set_group_readiness(#[case] changes: &[(u64, &str)], #[case] ready: bool) {
    let mut holder = holder(HolderConfig::default());
    for (epoch, first) in changes {
        let holders = [*first, "h1", "h3"].map(DaemonId::from).to_vec();
        let epoch = *epoch;
        holder.set_group(Millis(1), Group { epoch, holders });
    }
    assert_eq!(holder.is_ready(), ready);
}

/// Runs one send against fixed replies of the three holders and returns its first decision.
fn decide(replies: [Option<ClaimReply>; 3]) -> Action {
    let id = claim_id("a", 1, 0).send;
    let mut claim = KeyClaim::new(key("k"), id, fingerprint("f"), group(), Millis(1_000), 1);
    let mut now = Millis(0);
    let mut actions = claim.start(now);
    let mut queue: Vec<(DaemonId, KeyRequest)> = Vec::new();
    loop {
        for action in actions.drain(..) {
            match action {
                Action::Send(to, request) => queue.push((to, request)),
                decision => return decision,
            }
        }
        if queue.is_empty() {
            now = now.after(Millis(10));
            actions = claim.tick(now);
            continue;
        }
        let (to, request) = queue.remove(0);
        let index = group().holders.iter().position(|h| *h == to).unwrap();
        if let (KeyRequest::Claim { claim: id, .. }, Some(reply)) = (request, &replies[index]) {
            actions = claim.reply(now, &to, KeyReply::Claim(id, reply.clone()));
        }
    }
}

/// Guards against a run without a majority of consistent grants, against a verdict `NotRun` that
/// the replies do not prove, and against a failure before the reply that carries the answer.
#[rstest]
#[case::all(["g", "g", "g"], Action::Run)]
#[case::two(["g", "-", "g"], Action::Run)]
#[case::one(["g", "-", "-"], fail(Verdict::MayHaveRun, Reason::KeyHoldersUnavailable))]
#[case::inconsistent(["g", "old", "-"], fail(Verdict::NotRun, Reason::DeadlineExceeded))]
#[case::unresolved_minority(["u", "g", "g"], Action::Run)]
#[case::unresolved_majority(["u", "u", "g"], fail(Verdict::MayHaveRun, Reason::KeyUnresolved))]
#[case::running(["r", "r", "g"], fail(Verdict::MayHaveRun, Reason::KeyUnresolved))]
#[case::finished(["o", "o", "f"], Action::Return(ByteBuf::from(b"x")))]
#[case::other_request(["o", "o", "g"], fail(Verdict::NotRun, Reason::BadRequest))]
#[case::other_minority(["o", "r", "-"], fail(Verdict::MayHaveRun, Reason::KeyUnresolved))]
#[case::full(["F", "F", "-"], fail(Verdict::NotRun, Reason::Overloaded))]
#[case::not_ready(["n", "n", "g"], fail(Verdict::MayHaveRun, Reason::KeyHoldersUnavailable))]
fn claim_decides(#[case] replies: [&str; 3], #[case] expected: Action) {
    // The grant "g" records that h1 has restarted since it made the grant "old".
    let grant = |boot, known| {
        let known = BTreeMap::from([(DaemonId::from("h1"), known)]);
        ClaimReply::Granted(Grant { boot, known })
    };
    let replies = replies.map(|reply| match reply {
        "g" => Some(grant(2, 2)),
        "old" => Some(grant(1, 1)),
        "u" => Some(ClaimReply::Unresolved),
        "r" => Some(ClaimReply::Running),
        "f" => Some(ClaimReply::Finished(Some(ByteBuf::from(b"x")))),
        "o" => Some(ClaimReply::OtherRequest),
        "F" => Some(ClaimReply::Full),
        "n" => Some(ClaimReply::NotReady),
        _ => None,
    });
    assert_eq!(decide(replies), expected);
}

fn fail(verdict: Verdict, reason: Reason) -> Action {
    Action::Fail(Failure { verdict, reason })
}

/// Delivers the message for `holder` among `pending` and returns the actions that follow its reply.
/// `strip` removes the known incarnations from a grant.
fn exchange(
    claim: &mut KeyClaim,
    pending: &[Action],
    id: &str,
    holder: &mut KeyHolder,
    strip: bool,
) -> Vec<Action> {
    let to_holder = pending.iter().find_map(|action| match action {
        Action::Send(to, request) if to.as_str() == id => Some(request),
        _ => None,
    });
    let mut reply = holder.handle(Millis(1), to_holder.unwrap());
    if let KeyReply::Claim(_, ClaimReply::Granted(grant)) = &mut reply
        && strip
    {
        grant.known.clear();
    }
    claim.reply(Millis(1), &id.into(), reply)
}

/// Guards against a majority that combines a grant made before a restart, which the copies missed,
/// with a grant made after them. Without the incarnations in the grants, two sends run.
#[rstest]
#[case::stated(false, 1)]
#[case::stripped(true, 2)]
fn claim_rejects_grant_before_restart(#[case] strip: bool, #[case] expected_runs: usize) {
    let cfg = HolderConfig::default();
    let first = |id: &str| KeyHolder::first_group(id.into(), 1, group(), cfg);
    let (mut h0, mut h1, mut h2) = (first("h0"), first("h1"), first("h2"));
    let new = |daemon: &str| {
        let send = claim_id(daemon, 1, 0).send;
        KeyClaim::new(key("k"), send, fingerprint("f"), group(), Millis(1_000), 1)
    };
    let (mut a, mut b) = (new("a"), new("b"));
    let (pending_a, pending_b) = (a.start(Millis(0)), b.start(Millis(0)));
    let mut actions = exchange(&mut a, &pending_a, "h2", &mut h2, strip);
    h2 = KeyHolder::without_records(Millis(1), "h2".into(), 2, group(), cfg);
    for (to, request) in h2.copy_requests() {
        let other = if to.as_str() == "h0" {
            &mut h0
        } else {
            &mut h1
        };
        let KeyReply::Page(page) = other.handle(Millis(1), &request) else {
            panic!("a ready holder must answer");
        };
        h2.apply_copy_page(Millis(1), &to, &page);
    }
    actions.extend(exchange(&mut b, &pending_b, "h2", &mut h2, strip));
    actions.extend(exchange(&mut b, &pending_b, "h1", &mut h1, strip));
    actions.extend(exchange(&mut a, &pending_a, "h0", &mut h0, strip));
    let runs = actions.iter().filter(|action| **action == Action::Run);
    assert_eq!(runs.count(), expected_runs);
}

/// Guards against messages that change when they are encoded and decoded.
#[test]
fn message_roundtrip() {
    let request = complete("k", &claim_id("a", 1, 1), b"answer");
    let mut bytes = Vec::new();
    ciborium::into_writer(&request, &mut bytes).unwrap();
    let decoded: KeyRequest = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(decoded, request);
}

/// Checks that the oracle of the model detects each injected fault.
#[rstest]
#[case::grant_after_restart(Fault::GrantAfterRestart)]
#[case::single_holder(Fault::SingleHolder)]
#[case::no_epochs(Fault::NoEpochs)]
#[case::run_without_majority(Fault::RunWithoutMajority)]
fn model_detects_fault(#[case] fault: Fault) {
    let found = (0..20_000).find_map(|seed| Model::new(seed, fault).run(400));
    assert!(found.is_some(), "the oracle does not detect {fault:?}");
}

/// Guards against a model in which no send returns an answer, so that the oracle checks nothing.
#[test]
fn model_returns_answers() {
    let returned = |seed| {
        let mut model = Model::new(seed, Fault::None);
        assert_eq!(model.run(400), None, "seed {seed}");
        model.returned
    };
    let total: usize = (0..200).map(returned).sum();
    assert!(total > 100, "{total}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against two sends with one key that both run, answers of unfinished runs, and false
    /// verdicts, while messages are lost, repeated or reordered, and holders restart or are
    /// replaced.
    #[test]
    fn model_runs_at_most_once(seed: u64) {
        prop_assert_eq!(Model::new(seed, Fault::None).run(400), None);
    }
}
