//! `drain`: stops new calls to the endpoints of a daemon, or allows them again.

use bpaf::{Parser, construct, long, positional};
use sycamoreflow_state::operator::{DRAIN_PATH, DrainRequest, DrainResponse};

use crate::client::{self, Client};
use crate::exit::Result;
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    undo: bool,
    json: bool,
    daemon: String,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let undo = long("undo").help("Give it new work again").switch();
    let json = super::json();
    let daemon = positional::<String>("DAEMON").help("The daemon");
    construct!(Options {
        client,
        undo,
        json,
        daemon
    })
}

/// Drains the endpoints and prints how many there are.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let client = Client::new(&options.client)?;
    let request = DrainRequest {
        daemon: options.daemon.as_str().into(),
        draining: !options.undo,
    };
    let response: DrainResponse = client.post(DRAIN_PATH, &request).await?;
    if options.json {
        return output::json(io.out, &response);
    }
    let state = if options.undo { "in use" } else { "draining" };
    writeln!(
        io.out,
        "endpoints {state} at {}: {}, endpoints version {}",
        options.daemon, response.endpoints, response.version
    )?;
    Ok(())
}
