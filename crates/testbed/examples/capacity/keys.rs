//! Costs of the records of idempotency keys at one key holder. The holder is called
//! directly, so the costs of links are not included.

use std::collections::HashMap;

use serde_bytes::ByteBuf;
use sycamoreflow_coordination::dedup::{
    ClaimId, Group, HolderConfig, Key, KeyHolder, KeyReply, KeyRequest, SendId,
};
use sycamoreflow_coordination::fingerprint::Fingerprint;
use sycamoreflow_protocol::codec;
use sycamoreflow_state::ids::Millis;

use crate::meter::{Meter, resident_kib};
use crate::table::{Measure, Table, measure};
use crate::world;

const REPEATS: usize = 3;
const RECORDS: [usize; 3] = [1_000, 5_000, 11_000];
/// Size of a stored answer in bytes.
const ANSWER_BYTES: usize = 256;

const CLAIM: Measure = measure("processor time of a claim", "records", "us");
const COMPLETE: Measure = measure("processor time of a completion", "records", "us");
const MEMORY: Measure = measure("memory of records with answers of 256 B", "records", "KiB");
const BYTES: Measure = measure("bytes of a claim and a completion", "records", "B");

/// Measures claims and completions as the number of records grows.
pub(crate) fn keys(table: &mut Table) -> eyre::Result<()> {
    let mut kept = HashMap::new();
    for repeat in 0..REPEATS {
        for records in RECORDS {
            kept.insert((repeat, records), measure_records(table, records)?);
        }
    }
    Ok(())
}

fn measure_records(table: &mut Table, records: usize) -> eyre::Result<KeyHolder> {
    let size = records as f64;
    let before = resident_kib();
    let group = Group {
        epoch: 1,
        holders: (0..3).map(|index| world::daemon(index).into()).collect(),
    };
    let config = HolderConfig::default();
    let mut holder = KeyHolder::first_group(world::daemon(0).into(), 1, group, config);
    let mut cpu = [0.0; 2];
    for index in 0..records {
        let requests = requests(index);
        for (request, cpu) in requests.iter().zip(&mut cpu) {
            let meter = Meter::thread();
            let reply = holder.handle(Millis(1_000), request);
            *cpu += meter.cpu_us();
            if !matches!(reply, KeyReply::Claim(..) | KeyReply::Stored(_)) {
                eyre::bail!("unexpected reply of the key holder: {reply:?}");
            }
        }
    }
    table.add(MEMORY, size, resident_kib() - before);
    table.add(CLAIM, size, cpu[0] / size);
    table.add(COMPLETE, size, cpu[1] / size);
    let [claim, complete] = requests(0);
    let bytes = codec::encode(&claim)?.len() + codec::encode(&complete)?.len();
    table.add(BYTES, size, bytes as f64);
    Ok(holder)
}

/// Returns the requests that claim and complete key number `index`.
fn requests(index: usize) -> [KeyRequest; 2] {
    let key = Key {
        service: world::service(0).into(),
        tenant: "grocers".into(),
        key: format!("order-{index:08}"),
    };
    let claim = ClaimId {
        send: SendId {
            daemon: world::daemon(index % 100).into(),
            boot: 1,
            seq: index as u64,
        },
        round: 1,
    };
    let fingerprint = Fingerprint::of(&key.tenant, "POST", "/orders", key.key.as_bytes());
    [
        KeyRequest::Claim {
            key: key.clone(),
            claim: claim.clone(),
            fingerprint,
            epoch: 1,
        },
        KeyRequest::Complete {
            key,
            claim,
            fingerprint,
            answer: ByteBuf::from(vec![1; ANSWER_BYTES]),
        },
    ]
}
