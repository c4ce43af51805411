//! Serving one request: authorization, routing, and the response to the client.

mod attempt_loop;
mod attempts;
mod bounds;
mod fate;
mod in_flight;
mod observe;
mod origin;
mod outbox;
mod outgoing;
mod patient;
mod place_queue;
mod quota;
mod record;
mod relay;
pub mod reply;
mod response;
pub(crate) mod rests;
mod shed;
mod silent;
mod wait;

use crate::dialect::RequestInfo;
use crate::origins;
use crate::shared::Shared;
use async_std::future::timeout;
use attempts::{Attempts, RequestOutcome};
use dispatch::attempt::{self, Cause};
use dispatch::quotas::Class;
use dispatch::site::{Owner, Route, Site};
use http::Conn;
use http::raw::{RequestHead, has_body};
use ids::{ServiceId, SoftwareVersion, WorkspaceId};
use lifecycle::request::RequestState;
use quota::QuotaCharge;
use record::Record;
use std::sync::Arc;
use std::time::Duration;

/// What happens to a client's connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// It can carry another request.
    Keep,
    /// It is closed after the written data was delivered.
    Close,
    /// It is closed at once, because the response is incomplete and must not look complete.
    Abort,
    /// It is reset, because an incomplete response that ends with its connection would look complete otherwise.
    Reset,
}

/// A complete request as read from the client.
pub struct IncomingRequest {
    /// The client's connection.
    pub conn: Conn,
    /// The request's head.
    pub head: RequestHead,
    /// The request's body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub arrived: Duration,
}

/// A request whose workspace and route are known.
pub struct RoutedRequest<'a> {
    /// The request as it was read.
    pub incoming: &'a IncomingRequest,
    /// Information parsed from its head.
    pub info: RequestInfo,
    /// Its route.
    pub route: &'a Route,
    /// The service that was drawn from the route's targets.
    pub service: &'a ServiceId,
    /// Its workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// Its workspace, if that shares no cached prefixes with others.
    pub isolated: Option<&'a WorkspaceId>,
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Class under the quota of its workspace.
    pub class: Class,
    /// When the response must be complete.
    pub deadline: Duration,
    /// Version of the software that began the stream which the request continues, if only that may continue it.
    pub software: Option<SoftwareVersion>,
    /// Whether overload is decided across kinds of requests.
    pub patient_routes: PatientRoutes,
}

/// What [`Site::is_patient`] says about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PatientRoutes {
    /// Whether its service has a patient route.
    pub on_service: bool,
    /// Whether its own route is patient.
    pub is_patient: bool,
}

/// Responds to a request.
pub async fn respond(shared: &Arc<Shared>, incoming: &IncomingRequest) -> ConnectionAction {
    let mut record = Record::new(incoming.arrived);
    let info = match (shared.dialect.parse_request)(&incoming.head) {
        Ok(info) => info,
        Err(err) => {
            log::info!(why:% = err; "request refused: invalid head");
            return refuse(shared, incoming, Cause::Malformed, RequestState::Queued, &mut record).await;
        }
    };
    record.id.clone_from(&info.id);
    record.resumes = info.resumes.clone().unwrap_or_default();
    record.last_event = info.last_event;
    let site = shared.site.load_full();
    let request = match resolve(shared, site.as_deref(), incoming, info, &mut record) {
        Ok(request) => request,
        Err(cause) => return refuse(shared, incoming, cause, RequestState::Queued, &mut record).await,
    };
    let continued = shared.stop.unless_ended(origin::continued(shared, request)).await;
    let request = match continued.unwrap_or(Err(Cause::Stopping)) {
        Ok(request) => request,
        Err(cause) => return refuse(shared, incoming, cause, RequestState::Queued, &mut record).await,
    };
    let charge = match QuotaCharge::admit(shared, &request) {
        Ok(charge) => charge,
        Err(after) => {
            let cause = Cause::OverQuota(after);
            return refuse(shared, incoming, cause, RequestState::Queued, &mut record).await;
        }
    };
    shared.fleet().record_first_attempt(request.service, shared.clock.now());
    let outcome = Attempts::new(shared, &request, charge, &mut record)
        .run_until_stop()
        .await;
    match outcome {
        RequestOutcome::Complete(mut response) => {
            let close = closes_connection(shared, incoming);
            record.end(shared, response.status, "answered");
            let remaining = request.deadline.saturating_sub(shared.clock.now());
            // A client that has not read the response by its deadline no longer waits for it.
            let written = timeout(remaining, response.write(&incoming.conn, close)).await;
            if written.unwrap_or(false) {
                connection_action(close)
            } else {
                abort(incoming)
            }
        }
        RequestOutcome::Streamed { keep_alive } => {
            record.end(shared, 200, "streamed");
            connection_action(!keep_alive)
        }
        RequestOutcome::Interrupted(why) => {
            record.end(shared, 200, why);
            abort(incoming)
        }
        RequestOutcome::ClientDisconnected => {
            record.end(shared, 0, "caller_gone");
            abort(incoming)
        }
        RequestOutcome::Refused(cause, state) => refuse(shared, incoming, cause, state, &mut record).await,
    }
}

/// Determines the workspace and the route of a request.
fn resolve<'a>(
    shared: &Shared,
    site: Option<&'a Site>,
    incoming: &'a IncomingRequest,
    info: RequestInfo,
    record: &mut Record,
) -> Result<RoutedRequest<'a>, Cause> {
    let site = site.ok_or(Cause::NotReady)?;
    record.revision = site.revision();
    record.age = shared.freshness().age(shared.clock.now());
    let fresh = shared.is_fresh();
    let route = site.route(&info.host, incoming.head.path());
    // A router with an outdated document must not deny that a route exists: the route may have been added since.
    let route = route.ok_or(if fresh { Cause::NoRoute } else { Cause::Stale })?;
    record.route.clone_from(&route.name);
    let owner = match site.owner(route, info.key.as_deref()) {
        Owner::Anonymous => None,
        _ if !fresh => return Err(Cause::Stale),
        Owner::Unknown => return Err(Cause::Unauthorized),
        Owner::Workspace(spec) => Some(spec),
    };
    record.workspace = owner.map(|spec| spec.id.clone());
    let service = route.target(rand::random()).ok_or(Cause::NoEndpoint)?;
    let timeout = info.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(RoutedRequest {
        incoming,
        info,
        route,
        service,
        workspace: owner.map(|spec| &spec.id),
        isolated: owner.filter(|spec| spec.isolated).map(|spec| &spec.id),
        rank: owner.and_then(|spec| spec.rank).unwrap_or(route.rank),
        class: quota::class(site, route),
        deadline: incoming.arrived + timeout,
        software: None,
        patient_routes: PatientRoutes {
            on_service: site.has_patient(service),
            is_patient: site.is_patient(route),
        },
    })
}

async fn refuse(
    shared: &Shared,
    incoming: &IncomingRequest,
    cause: Cause,
    state: RequestState,
    record: &mut Record,
) -> ConnectionAction {
    let refusal = attempt::refusal(cause, state);
    record.end(shared, refusal.status, cause.name());
    let close = closes_connection(shared, incoming);
    let has_body = has_body(refusal.status, &incoming.head.method);
    if reply::refusal(&incoming.conn, &refusal, has_body, close).await {
        return connection_action(close);
    }
    ConnectionAction::Abort
}

/// Whether the connection is closed after this response.
fn closes_connection(shared: &Shared, incoming: &IncomingRequest) -> bool {
    !incoming.head.keeps_alive() || shared.stop.has_begun()
}

/// How the connection ends after an incomplete response.
fn abort(incoming: &IncomingRequest) -> ConnectionAction {
    if incoming.head.http10 {
        ConnectionAction::Reset
    } else {
        ConnectionAction::Abort
    }
}

fn connection_action(close: bool) -> ConnectionAction {
    if close {
        ConnectionAction::Close
    } else {
        ConnectionAction::Keep
    }
}
