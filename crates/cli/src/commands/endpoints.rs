//! `endpoints`: shows the endpoints of all services or of one.

use bpaf::{Parser, construct};
use sycamoreflow_state::endpoint::Endpoint;
use sycamoreflow_state::operator::{ENDPOINTS_PATH, EndpointsResponse};

use crate::client::{self, Client};
use crate::exit::Result;
use crate::{Io, output};

/// Arguments of the command.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    service: Option<String>,
    json: bool,
}

/// Returns the parser of the command's arguments.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let service = super::service("Show this service only");
    let json = super::json();
    construct!(Options {
        client,
        service,
        json
    })
}

/// Prints the endpoints, one per line.
pub async fn run(options: &Options, io: &mut Io<'_>) -> Result {
    let client = Client::new(&options.client)?;
    let mut response: EndpointsResponse = client.get(ENDPOINTS_PATH).await?;
    if let Some(service) = &options.service {
        response
            .endpoints
            .retain(|endpoint| endpoint.service.as_str() == service);
    }
    if options.json {
        return output::json(io.out, &response);
    }
    let rows: Vec<_> = response.endpoints.iter().map(row).collect();
    output::table(io.out, &rows)
}

fn row(endpoint: &Endpoint) -> [String; 7] {
    let state = if endpoint.draining { "draining" } else { "" };
    [
        endpoint.service.to_string(),
        endpoint.version.to_string(),
        endpoint.daemon.to_string(),
        endpoint.data_centre.to_string(),
        endpoint.address.to_string(),
        format!("{} slots", endpoint.slots),
        state.to_owned(),
    ]
}
