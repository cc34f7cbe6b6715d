//! Client of the operator interface: tries the addresses in turn until one answers.
//!
//! Every request of the interface may be repeated: reads have no effect, an approval carries a
//! request id, and a drain mark is the same when it is set twice.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use async_std::task::sleep;
use bpaf::{Parser, construct, env, long};
use eyre::WrapErr;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamoreflow_state::operator::{ErrorCode, ErrorResponse};

use crate::exit::{Exit, Failure, Result};
use crate::http;

/// Pause between rounds over all addresses.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest token that is read from a file.
const MAX_TOKEN_BYTES: usize = 4096;

/// Message for a token that the daemon does not accept.
const TOKEN_REFUSED: &str = "the daemon refused the operator token; give the one in the file that \
     its setting operator-token-file names";
/// Message for an address that serves something else.
const NOT_OPERATOR_INTERFACE: &str = "the address serves no operator interface; give the address \
     listen.operator of a control replica";

/// Where to find the operator interface.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of daemons, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// File that contains the token.
    pub token_file: Option<PathBuf>,
    /// Token from the environment.
    pub token: Option<String>,
    /// Time to go on trying.
    pub wait: Duration,
}

/// Returns the parser of the options.
pub fn options() -> impl Parser<Options> {
    let addresses = long("address")
        .env("SYCAMOREFLOW_ADDRESS")
        .help("Operator addresses of daemons, tried in turn")
        .argument::<String>("IP:PORT,...")
        .parse(|text| parse_addresses(&text));
    let token_file = long("token-file")
        .env("SYCAMOREFLOW_TOKEN_FILE")
        .help("File with the operator token (default: the variable SYCAMOREFLOW_TOKEN)")
        .argument::<PathBuf>("FILE")
        .optional();
    let token = env("SYCAMOREFLOW_TOKEN")
        .help("Operator token, if there is no file")
        .argument::<String>("TOKEN")
        .optional();
    let wait = long("wait")
        .help("Time to go on trying when no daemon answers (default 5)")
        .argument::<u32>("SECONDS")
        .fallback(5)
        .map(|seconds| Duration::from_secs(seconds.into()));
    construct!(Options {
        addresses,
        token_file,
        token,
        wait
    })
}

fn parse_addresses(text: &str) -> std::result::Result<Vec<SocketAddr>, String> {
    text.split(',')
        .map(|item| {
            let item = item.trim();
            item.parse()
                .map_err(|_| format!("{item:?} is not an address such as 10.0.0.1:7900"))
        })
        .collect()
}

/// A client of the operator interface.
pub struct Client {
    addresses: Vec<SocketAddr>,
    token: String,
    wait: Duration,
}

impl Client {
    /// Makes a client and reads the token.
    pub fn new(options: &Options) -> Result<Self> {
        Ok(Self {
            addresses: options.addresses.clone(),
            token: read_token(options)?,
            wait: options.wait,
        })
    }

    /// Reads a resource.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call("GET", path, Vec::new()).await
    }

    /// Sends a request with a body.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        let body = serde_json::to_vec(body).wrap_err("cannot encode the request")?;
        self.call("POST", path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T> {
        let start = Instant::now();
        loop {
            let mut failures = Vec::new();
            for &address in &self.addresses {
                match http::send(address, method, path, &self.token, body.clone()).await {
                    Ok((status, body)) => match classify_response(status, &body) {
                        Outcome::Success(response) => return Ok(response),
                        Outcome::Final(failure) => return Err(failure),
                        Outcome::TryNext(reason) => failures.push(format!("{address}: {reason}")),
                    },
                    Err(e) => failures.push(format!("{address}: {e}")),
                }
            }
            if start.elapsed() + RETRY_INTERVAL > self.wait {
                let message = format!(
                    "no daemon gave an answer: {}\nCheck that a majority of the control replicas \
                     runs and that --address names their listen.operator",
                    failures.join("; ")
                );
                return Err(Failure::new(Exit::Unreachable, message));
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

enum Outcome<T> {
    Success(T),
    /// Another daemon would answer the same.
    Final(Failure),
    /// Another daemon, or this one later, may answer.
    TryNext(String),
}

fn classify_response<T: DeserializeOwned>(status: u16, body: &[u8]) -> Outcome<T> {
    if (200..300).contains(&status) {
        return match serde_json::from_slice(body) {
            Ok(response) => Outcome::Success(response),
            Err(e) => Outcome::TryNext(format!("cannot read the response: {e}")),
        };
    }
    let Ok(error) = serde_json::from_slice::<ErrorResponse>(body) else {
        let message = match status {
            401 => TOKEN_REFUSED.to_owned(),
            404 => NOT_OPERATOR_INTERFACE.to_owned(),
            _ => format!("status {status}"),
        };
        return match status {
            500.. => Outcome::TryNext(message),
            _ => Outcome::Final(Failure::new(Exit::Failure, message)),
        };
    };
    match error.code {
        ErrorCode::Unavailable => Outcome::TryNext(error.message),
        ErrorCode::Conflict => Outcome::Final(Failure::new(Exit::Conflict, conflict_text(&error))),
        ErrorCode::Invalid => Outcome::Final(Failure::new(Exit::Invalid, invalid_text(&error))),
        ErrorCode::BadRequest
        | ErrorCode::Unauthorized
        | ErrorCode::NotFound
        | ErrorCode::RequestIdReused => Outcome::Final(Failure::new(Exit::Failure, error.message)),
    }
}

fn conflict_text(error: &ErrorResponse) -> String {
    match error.current {
        Some(current) => format!(
            "{}; version {current} is in force, run `sycamoreflow plan` again",
            error.message
        ),
        None => error.message.clone(),
    }
}

fn invalid_text(error: &ErrorResponse) -> String {
    let mut message = error.message.clone();
    for problem in &error.problems {
        message += &format!("\n{problem}");
    }
    message
}

fn read_token(options: &Options) -> Result<String> {
    let token = match (&options.token_file, &options.token) {
        (Some(file), _) => std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read the token file {}", file.display()))?,
        (None, Some(token)) => token.clone(),
        (None, None) => {
            let message = "give the operator token by --token-file or SYCAMOREFLOW_TOKEN";
            return Err(Failure::new(Exit::Usage, message));
        }
    };
    let token = token.trim();
    let printable = token.bytes().all(|b| b.is_ascii_graphic());
    if token.is_empty() || token.len() > MAX_TOKEN_BYTES || !printable {
        let message = "the token must be one word of printable ASCII characters";
        return Err(Failure::new(Exit::Usage, message));
    }
    Ok(token.to_owned())
}

/// Encodes a text as the value of a query.
pub fn query_value(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded += &format!("%{byte:02X}");
        }
    }
    encoded
}
