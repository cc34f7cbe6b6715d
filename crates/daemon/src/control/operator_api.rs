//! The HTTP API for operators of a control replica. [`sycamoreflow_state::operator`] defines its
//! paths and bodies.

use std::sync::Arc;

use futures::channel::oneshot;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sycamoreflow_coordination::machine::{Command, Outcome};
use sycamoreflow_coordination::raft::Refusal;
use sycamoreflow_state::ids::{DaemonId, DataCentre, RequestId, ServiceName, is_valid_name};
use sycamoreflow_state::operator::{
    APPROVE_PATH, ApproveRequest, ApproveResponse, CONFIG_PATH, ConfigResponse, DRAIN_PATH,
    DrainRequest, DrainResponse, ENDPOINTS_PATH, EVACUATIONS_PATH, EndpointsResponse, ErrorCode,
    ErrorResponse, EvacuationResponse, HISTORY_PATH, STATUS_PATH,
};
use tide::{Request, Response, StatusCode};

use crate::clock;
use crate::control::documents::with_timeout;
use crate::control::evacuations::{self, Ordered};
use crate::control::hub::Hub;
use crate::control::replica::{Event, Replica, Unavailable};
use crate::control::status;

/// Result of an operator's request. The error determines the HTTP status and body.
type Result<T> = std::result::Result<T, ErrorResponse>;

/// State that all request handlers of the API share.
#[derive(Clone, Debug)]
pub struct OperatorState {
    /// The control replica that answers the requests.
    pub hub: Arc<Hub>,
    /// Name of the mesh, returned with the status and the configuration.
    pub mesh: String,
    /// Id of this daemon, returned with the status.
    pub daemon: DaemonId,
    /// Data centres that the settings list, which an order may name although they have no endpoint.
    pub data_centres: Vec<DataCentre>,
}

/// Creates the HTTP application with all routes of the API. The caller has to check the
/// operator token.
pub fn app(state: OperatorState) -> tide::Server<OperatorState> {
    let mut app = tide::with_state(state);
    app.at(APPROVE_PATH).post(|req| handle(req, approve));
    app.at(STATUS_PATH).get(|req| handle(req, get_status));
    app.at(CONFIG_PATH).get(|req| handle(req, get_config));
    app.at(HISTORY_PATH).get(|req| handle(req, get_history));
    app.at(ENDPOINTS_PATH).get(|req| handle(req, get_endpoints));
    app.at(DRAIN_PATH).post(|req| handle(req, drain));
    app.at(&format!("{EVACUATIONS_PATH}:data-centre"))
        .post(|req| handle(req, |req| evacuate(req, true)))
        .delete(|req| handle(req, |req| evacuate(req, false)));
    app
}

async fn handle<T, F>(
    req: Request<OperatorState>,
    handler: impl FnOnce(Request<OperatorState>) -> F,
) -> tide::Result
where
    T: Serialize,
    F: Future<Output = Result<T>>,
{
    match handler(req).await {
        Ok(body) => respond(200, &body),
        Err(error) => respond(error.code.status(), &error),
    }
}

fn respond<T: Serialize>(status: u16, body: &T) -> tide::Result {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(tide::Body::from_json(body)?);
    Ok(response)
}

async fn approve(mut req: Request<OperatorState>) -> Result<ApproveResponse> {
    let body: ApproveRequest = read_body(&mut req).await?;
    let command = Command::Approve {
        request: body.request_id,
        base: body.base,
        operator: body.operator,
        answers: body.answers,
        config: body.config,
        at: clock::unix_now(),
    };
    let problems = command.problems();
    if !problems.is_empty() {
        return Err(invalid(&problems));
    }
    if let Command::Approve { config, .. } = &command {
        let problems: Vec<String> = config
            .validate(clock::unix_now())
            .iter()
            .map(ToString::to_string)
            .collect();
        if !problems.is_empty() {
            return Err(invalid(&problems));
        }
    }
    let (tx, rx) = oneshot::channel();
    let sent = req.state().hub.send(Event::Propose(Box::new(command), tx));
    let outcome = match rx.await {
        Ok(outcome) if sent => outcome.map_err(|error| unavailable(&error))?,
        _ => return Err(stopping()),
    };
    match outcome {
        Outcome::Approved {
            version,
            rollouts,
            repeated,
        } => {
            metrics::counter!("sycamoreflow_approvals_total").increment(1);
            Ok(ApproveResponse {
                version,
                repeated,
                rollouts,
            })
        }
        Outcome::Conflict { current, by, .. } => {
            // The client appends the version in force and a hint how to proceed.
            let message = format!("{by} has approved another version since");
            let mut error = ErrorResponse::new(ErrorCode::Conflict, message);
            error.current = Some(current);
            Err(error)
        }
        Outcome::Invalid { problems } => Err(invalid(&problems)),
        Outcome::RequestIdReused => Err(ErrorResponse::new(
            ErrorCode::RequestIdReused,
            "the request identifier was used for another request; use a new one",
        )),
        Outcome::Refused { reason } => Err(ErrorResponse::new(ErrorCode::Unavailable, reason)),
        Outcome::Done { .. }
        | Outcome::Replaced { .. }
        | Outcome::BaseOutdated { .. }
        | Outcome::ComputedOnOther => Err(stopping()),
    }
}

async fn get_status(
    req: Request<OperatorState>,
) -> Result<sycamoreflow_state::operator::StatusResponse> {
    let mesh = req.state().mesh.clone();
    let daemon = req.state().daemon.clone();
    let read = move |replica: &Replica| status::status(replica, mesh, daemon);
    read_leader(&req.state().hub, read).await
}

async fn get_config(req: Request<OperatorState>) -> Result<ConfigResponse> {
    let mesh = req.state().mesh.clone();
    let read = move |replica: &Replica| {
        let approved = replica.state().approved();
        ConfigResponse {
            mesh,
            version: approved.version,
            answers: approved.answers.clone(),
            config: approved.config.clone(),
        }
    };
    self::read(&req.state().hub, read).await
}

async fn get_history(
    req: Request<OperatorState>,
) -> Result<sycamoreflow_state::operator::HistoryResponse> {
    let service = req
        .url()
        .query_pairs()
        .find(|(name, _)| name == "service")
        .map(|(_, value)| ServiceName::from(value.as_ref()));
    let read = move |replica: &Replica| status::history(replica.state(), service.as_ref());
    self::read(&req.state().hub, read).await
}

async fn get_endpoints(req: Request<OperatorState>) -> Result<EndpointsResponse> {
    let view = req.state().hub.view();
    Ok(EndpointsResponse {
        version: view.version().endpoints,
        endpoints: view.endpoints().cloned().collect(),
    })
}

async fn drain(mut req: Request<OperatorState>) -> Result<DrainResponse> {
    let body: DrainRequest = read_body(&mut req).await?;
    let hub = req.state().hub.clone();
    let count_endpoints = |hub: &Hub| {
        let view = hub.view();
        let of_daemon = view.endpoints().filter(|e| e.daemon == body.daemon);
        of_daemon.count() as u64
    };
    if count_endpoints(&hub) == 0 {
        let message = format!(
            "no endpoint at daemon {}; `sycamoreflow endpoints` lists all",
            body.daemon
        );
        return Err(ErrorResponse::new(ErrorCode::NotFound, message));
    }
    let command = Command::Drain {
        daemon: body.daemon.clone(),
        draining: body.draining,
    };
    let ordered = with_timeout(hub.ask(|tx| Event::Propose(Box::new(command), tx))).await;
    ordered.map_err(|error| unavailable(&error))?;
    // The leader publishes the drain state within a few ticks.
    for _ in 0..100 {
        let view = hub.view();
        let mut of_daemon = view.endpoints().filter(|e| e.daemon == body.daemon);
        if of_daemon.all(|e| e.draining == body.draining) {
            return Ok(DrainResponse {
                version: view.version().endpoints,
                endpoints: count_endpoints(&hub),
            });
        }
        async_std::task::sleep(std::time::Duration::from_millis(20)).await;
    }
    let message = "the drain state was not published in time; send the request again";
    Err(ErrorResponse::new(ErrorCode::Unavailable, message))
}

/// Evacuates the data centre in the path, or restores it.
async fn evacuate(req: Request<OperatorState>, evacuate: bool) -> Result<EvacuationResponse> {
    let name = req.param("data-centre").ok().and_then(decode_name);
    let name = name.ok_or_else(|| {
        let message = "the path must end with the percent-encoded name of a data centre";
        ErrorResponse::new(ErrorCode::BadRequest, message)
    })?;
    let request = req.url().query_pairs().find(|(key, _)| key == "request-id");
    let request = request.map(|(_, id)| RequestId::from(id.as_ref()));
    if request
        .as_ref()
        .is_some_and(|id| !is_valid_name(id.as_str()))
    {
        let message = "request-id: empty, too long or with control characters";
        return Err(ErrorResponse::new(ErrorCode::BadRequest, message));
    }
    let state = req.state();
    let data_centre = DataCentre::from(name);
    let (hub, listed) = (&state.hub, &state.data_centres);
    let ordered = evacuations::order(hub, listed, request, data_centre.clone(), evacuate).await;
    match ordered.map_err(|error| unavailable(&error))? {
        Ordered::Accepted { version, changed } => {
            let read = move |replica: &Replica| EvacuationResponse {
                version,
                changed,
                evacuated: replica.state().evacuations().is_evacuated(&data_centre),
                remaining: status::remaining_capacity(replica),
            };
            self::read(hub, read).await
        }
        Ordered::UnknownDataCentre => {
            let message = format!(
                "no endpoint is in data centre {data_centre}, and the setting data-centres does \
                 not list it"
            );
            Err(ErrorResponse::new(ErrorCode::NotFound, message))
        }
        Ordered::RequestIdReused => Err(ErrorResponse::new(
            ErrorCode::RequestIdReused,
            "the request identifier was used for another request; use a new one",
        )),
    }
}

/// Decodes a name in a path. Returns `None` if it is malformed or not a valid name.
fn decode_name(encoded: &str) -> Option<String> {
    let decoded = percent_decode_str(encoded).decode_utf8().ok()?;
    is_valid_name(&decoded).then(|| decoded.into_owned())
}

async fn read<T: Send + 'static>(
    hub: &Hub,
    read: impl FnOnce(&Replica) -> T + Send + 'static,
) -> Result<T> {
    hub.read(read).await.map_err(|error| unavailable(&error))
}

/// Reads the soft state of the leader. Fails with [`ErrorCode::Unavailable`] on other replicas.
async fn read_leader<T: Send + 'static>(
    hub: &Hub,
    read: impl FnOnce(&Replica) -> T + Send + 'static,
) -> Result<T> {
    let read_if_leader = move |replica: &Replica| {
        if replica.leader().is_none() {
            return Err(Unavailable {
                refusal: None,
                leader: replica.leader_id().cloned(),
            });
        }
        Ok(read(replica))
    };
    self::read(hub, read_if_leader)
        .await?
        .map_err(|error| unavailable(&error))
}

async fn read_body<T: DeserializeOwned>(req: &mut Request<OperatorState>) -> Result<T> {
    req.body_json().await.map_err(|error| {
        let message = format!("the request body is malformed: {error}");
        ErrorResponse::new(ErrorCode::BadRequest, message)
    })
}

fn invalid(problems: &[String]) -> ErrorResponse {
    let message = format!(
        "the configuration is refused as a whole:\n{}",
        problems.join("\n")
    );
    ErrorResponse::new(ErrorCode::Invalid, message)
}

fn unavailable(error: &Unavailable) -> ErrorResponse {
    if error.refusal == Some(Refusal::TooLarge) {
        let message = "the answers and the configuration are too large for one approval";
        return ErrorResponse::new(ErrorCode::Invalid, message);
    }
    let message = match &error.leader {
        Some(leader) => format!("this replica does not lead the control group; ask {leader}"),
        None => "the control group has no quorum at present; try again".to_owned(),
    };
    ErrorResponse::new(ErrorCode::Unavailable, message)
}

fn stopping() -> ErrorResponse {
    ErrorResponse::new(
        ErrorCode::Unavailable,
        "this replica is stopping; ask another one",
    )
}
