//! `evacuate` and `restore`: stop requests to the endpoints in a data centre, or allow them again.

use bpaf::{Parser, construct, long, positional};
use sycamoreflow_state::operator::{EVACUATIONS_PATH, EvacuationResponse};

use super::status::print_remaining;
use crate::client::{self, Client};
use crate::exit::{Exit, Failure, Result};
use crate::{Io, answers_file, output};

/// Arguments of the commands.
#[derive(Clone, Debug)]
pub struct Options {
    client: client::Options,
    request_id: Option<String>,
    json: bool,
    data_centre: String,
}

/// Returns the parser of the arguments of both commands.
pub fn options() -> impl Parser<Options> {
    let client = client::options();
    let request_id = long("request-id")
        .help("Identifier of an earlier order, to send it again")
        .argument::<String>("ID")
        .optional();
    let json = super::json();
    let data_centre = positional::<String>("DATA-CENTRE").help("The data centre");
    construct!(Options {
        client,
        request_id,
        json,
        data_centre
    })
}

/// Evacuates or restores the data centre, and prints the load expected in the others.
pub async fn run(options: &Options, evacuate: bool, io: &mut Io<'_>) -> Result {
    let client = Client::new(&options.client)?;
    let request_id = match &options.request_id {
        Some(id) => id.as_str().into(),
        None => answers_file::new_request_id()?,
    };
    let path = format!(
        "{EVACUATIONS_PATH}{}?request-id={}",
        client::percent_encode(&options.data_centre),
        client::percent_encode(request_id.as_str())
    );
    let method = if evacuate { "POST" } else { "DELETE" };
    let response = client.send::<EvacuationResponse>(method, &path).await;
    let response = response.map_err(|failure| match failure.exit {
        Exit::Unreachable => Failure::new(
            Exit::Unreachable,
            format!(
                "{failure}\nThe order may have been accepted; to send it again, add \
                 --request-id {request_id}"
            ),
        ),
        _ => failure,
    })?;
    if options.json {
        return output::json(io.out, &response);
    }
    let state = match response.evacuated {
        true => "evacuated",
        false => "in use",
    };
    let repeated = if response.changed { "" } else { ", unchanged" };
    writeln!(
        io.out,
        "{} is {state}{repeated}, version {}",
        options.data_centre, response.version
    )?;
    if response.evacuated != evacuate {
        writeln!(io.err, "warning: a later order has overtaken this one")?;
    }
    print_remaining(io.out, &response.remaining)
}
