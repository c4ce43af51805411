//! One request: whose it is, where it goes, and what the caller gets.

mod attempts;
mod flight;
mod outgoing;
mod record;
mod relay;
pub mod reply;
mod wait;

use crate::dialect::RequestInfo;
use crate::shared::Shared;
use attempts::{Attempts, Finish};
use dispatch::attempt::{self, Cause};
use dispatch::site::{Owner, Route, Site};
use http::Conn;
use http::raw::RequestHead;
use ids::{ServiceId, WorkspaceId};
use lifecycle::request::RequestState;
use record::Record;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// What becomes of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It may carry another request.
    Keep,
    /// It ends after what was written.
    Close,
    /// It is cut: the answer is not whole, and must not look so.
    Abort,
}

/// A whole request as it was read.
pub struct Caller {
    /// Its connection.
    pub conn: Conn,
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub arrived: Duration,
}

/// A request of which it is known whose it is and where it goes.
pub struct Call<'a> {
    /// As it was read.
    pub caller: &'a Caller,
    /// What the caller asks for.
    pub wish: RequestInfo,
    /// Its route.
    pub route: &'a Route,
    /// The service that its draw among the route's targets gave.
    pub service: &'a ServiceId,
    /// Its workspace.
    pub workspace: Option<&'a WorkspaceId>,
    /// The same, if it shares no cached prefix.
    pub isolated: Option<&'a WorkspaceId>,
    /// Urgency, 0 the most urgent.
    pub rank: u8,
    /// When it must be answered.
    pub deadline: Duration,
}

/// Answers a request.
pub async fn answer(shared: &Arc<Shared>, caller: &Caller) -> Ending {
    let mut record = Record::new(caller.arrived);
    let wish = match (shared.dialect.parse_request)(&caller.head) {
        Ok(wish) => wish,
        Err(err) => {
            log::info!(why:% = err; "request refused: its head is incomplete");
            return refuse(shared, caller, Cause::Malformed, RequestState::Queued, &mut record).await;
        }
    };
    record.id.clone_from(&wish.id);
    let site = shared.site.load_full();
    let call = match resolve(shared, site.as_deref(), caller, wish, &mut record) {
        Ok(call) => call,
        Err(cause) => return refuse(shared, caller, cause, RequestState::Queued, &mut record).await,
    };
    shared.fleet().first_attempt(call.service, shared.clock.now());
    let mut attempts = Attempts::new(shared, &call, &mut record);
    let finish = attempts.run().await;
    match finish {
        Finish::Whole(answer) => {
            let close = closes(shared, caller);
            record.end(shared, answer.status, "answered");
            if reply::whole(&caller.conn, answer.status, &answer.headers, &answer.body, close).await {
                ending(close)
            } else {
                Ending::Abort
            }
        }
        Finish::Streamed { keeps } => {
            record.end(shared, 200, "streamed");
            ending(!keeps)
        }
        Finish::Cut(why) => {
            record.end(shared, 200, why);
            Ending::Abort
        }
        Finish::Gone => {
            record.end(shared, 0, "caller_gone");
            Ending::Abort
        }
        Finish::Refused(cause, state) => refuse(shared, caller, cause, state, &mut record).await,
    }
}

/// Whose the request is and where it goes.
fn resolve<'a>(
    shared: &Shared,
    site: Option<&'a Site>,
    caller: &'a Caller,
    wish: RequestInfo,
    record: &mut Record,
) -> Result<Call<'a>, Cause> {
    let site = site.ok_or(Cause::NotReady)?;
    record.revision = site.revision();
    record.age = shared.freshness().age(shared.clock.now());
    let fresh = shared.fresh();
    let route = site.route(&wish.host, caller.head.path());
    // A router that may have missed a change doesn't deny what may be there by now.
    let route = route.ok_or(if fresh { Cause::NoRoute } else { Cause::Stale })?;
    record.route.clone_from(&route.name);
    let owner = match site.owner(route, wish.key.as_deref()) {
        Owner::Nobody => None,
        _ if !fresh => return Err(Cause::Stale),
        Owner::Unknown => return Err(Cause::Unauthorized),
        Owner::Workspace(spec) => Some(spec),
    };
    record.workspace = owner.map(|spec| spec.id.clone());
    let service = route.target(rand::random()).ok_or(Cause::NoEndpoint)?;
    let patience = wish.timeout.unwrap_or(route.timeout).min(route.timeout);
    Ok(Call {
        caller,
        wish,
        route,
        service,
        workspace: owner.map(|spec| &spec.id),
        isolated: owner.filter(|spec| spec.isolated).map(|spec| &spec.id),
        rank: owner.and_then(|spec| spec.rank).unwrap_or(route.rank),
        deadline: caller.arrived + patience,
    })
}

async fn refuse(shared: &Shared, caller: &Caller, cause: Cause, state: RequestState, record: &mut Record) -> Ending {
    let refusal = attempt::refusal(cause, state);
    record.end(shared, refusal.status, cause.name());
    let close = closes(shared, caller);
    if reply::refusal(&caller.conn, &refusal, close).await {
        return ending(close);
    }
    Ending::Abort
}

/// Whether the connection ends with this answer.
fn closes(shared: &Shared, caller: &Caller) -> bool {
    !caller.head.keeps() || shared.stopping.load(Ordering::SeqCst)
}

fn ending(close: bool) -> Ending {
    if close { Ending::Close } else { Ending::Keep }
}
