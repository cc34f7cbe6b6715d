//! `history`: shows the configuration changes and rollouts of all services or of one.

use bpaf::{Parser, construct, positional};
use sycamoreflow_state::answers::units;
use sycamoreflow_state::operator::{HISTORY_PATH, HistoryEntry, HistoryEvent, HistoryResponse};

use crate::client::{self, Client};
use crate::exit::Result;
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    json: bool,
    service: Option<String>,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let json = super::json();
    let service = positional::<String>("SERVICE")
        .help("Show this service only")
        .optional();
    construct!(Options {
        client,
        json,
        service
    })
}

/// Prints the history, one entry per line.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let client = Client::new(&options.client)?;
    let path = match &options.service {
        Some(service) => format!("{HISTORY_PATH}?service={}", client::percent_encode(service)),
        None => HISTORY_PATH.to_owned(),
    };
    let history: HistoryResponse = client.get(&path).await?;
    if options.json {
        return output::json(io.out, &history);
    }
    let rows: Vec<_> = history.entries.iter().map(row).collect();
    output::table(io.out, &rows)
}

fn row(entry: &HistoryEntry) -> [String; 4] {
    let service = entry.service.as_ref().map(ToString::to_string);
    [
        units::format_time(entry.at),
        format!("version {}", entry.version),
        service.unwrap_or_default(),
        describe(&entry.event),
    ]
}

fn describe(event: &HistoryEvent) -> String {
    match event {
        HistoryEvent::Approved {
            request_id,
            operator,
        } => format!("approved by {operator}, request {request_id}"),
        HistoryEvent::RolloutStarted { from, to } => format!("rollout {from} -> {to} started"),
        HistoryEvent::ShareChanged { to, share } => {
            format!("share of {to} is {}", units::format_percent(*share))
        }
        HistoryEvent::TestPassed { to } => format!("{to} passed its test under full load"),
        HistoryEvent::RolloutDone { to } => format!("rollout of {to} done"),
        HistoryEvent::RolledBack { to, reason } => format!("{to} taken back: {reason}"),
        HistoryEvent::Evacuated { data_centre } => format!("{data_centre} evacuated"),
        HistoryEvent::Restored { data_centre } => format!("{data_centre} restored"),
        HistoryEvent::KeyHoldersChanged { epoch } => format!("key holders changed, group {epoch}"),
    }
}
