//! A plain service that counts the calls it executes.
//!
//! Beyond the table in `wire::service`: a draining runner answers 503 with `apricotfork-ran: not_run`.

use crate::http::{self, Call, Cut, Reply, status};
use argh::FromArgs;
use async_std::task;
use http_types::{Method, Response, StatusCode};
use ids::Incarnation;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use wire::headers;
use wire::service::{CutAt, Done, Executions, Fault, Load};

const MAX_HANG: Duration = Duration::from_secs(120);
const HANG_POLL: Duration = Duration::from_millis(20);

/// Stand-in for a plain service: counts executions and reports its load.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// address to listen on
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// incarnation number; default: start time in milliseconds
    #[argh(option)]
    pub incarnation: Option<u64>,
    /// duration of each call in milliseconds
    #[argh(option, default = "0")]
    pub work_ms: u64,
    /// maximum number of concurrent calls
    #[argh(option, default = "32")]
    pub slots: u32,
    /// interval between updates of the load report in milliseconds; 0: always current
    #[argh(option, default = "100")]
    pub report_lag_ms: u64,
}

struct Service {
    incarnation: Incarnation,
    slots: u32,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    report: Option<Load>,
    running: u32,
    executed: u64,
    executions: Executions,
    fault: Fault,
}

/// Serves until the process ends.
///
/// # Errors
/// If the address can't be bound.
pub async fn run(args: Args) -> std::io::Result<()> {
    let incarnation = Incarnation(args.incarnation.unwrap_or_else(crate::engine::new_incarnation));
    let fault = Fault {
        work_ms: Some(args.work_ms),
        ..Fault::default()
    };
    let state = Mutex::new(State {
        fault,
        ..State::default()
    });
    let service = Arc::new(Service {
        incarnation,
        slots: args.slots,
        state,
    });
    let (listener, local) = http::bind(&args.listen).await?;
    task::spawn(update_report(
        service.clone(),
        Duration::from_millis(args.report_lag_ms),
    ));
    http::announce(&local.to_string());
    let handler = move |call: Call| -> futures::future::BoxFuture<'static, Reply> {
        let service = service.clone();
        Box::pin(async move { service.handle(call).await })
    };
    http::serve(listener, Arc::default(), Arc::new(handler)).await
}

async fn update_report(service: Arc<Service>, lag: Duration) {
    while !lag.is_zero() {
        let load = service.load();
        service.lock().report = Some(load);
        task::sleep(lag).await;
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("mutex is not poisoned")
    }

    async fn handle(&self, call: Call) -> Reply {
        if call.route() == (Method::Post, "/fault") {
            return self.set_fault(&call);
        }
        if self.lock().fault.hang == Some(true) {
            return self.hang().await;
        }
        match call.route() {
            (Method::Get, "/v1/load") => {
                let report = self.lock().report.clone();
                ok(&report.unwrap_or_else(|| self.load()))
            }
            (Method::Get, "/v1/executions") => ok(&self.lock().executions),
            _ => self.work(&call).await,
        }
    }

    async fn hang(&self) -> Reply {
        let mut waited = Duration::ZERO;
        while self.lock().fault.hang == Some(true) && waited < MAX_HANG {
            task::sleep(HANG_POLL).await;
            waited += HANG_POLL;
        }
        Reply::Close
    }

    fn load(&self) -> Load {
        let state = self.lock();
        Load {
            incarnation: self.incarnation,
            leaving: state.fault.leaving == Some(true),
            running: state.running.min(self.slots),
            waiting: state.running.saturating_sub(self.slots),
        }
    }

    async fn work(&self, call: &Call) -> Reply {
        if self.lock().fault.leaving == Some(true) {
            let mut response = Response::new(StatusCode::ServiceUnavailable);
            response.insert_header(headers::RAN, "not_run");
            return Reply::Answer(response);
        }
        let cut = self.next_cut();
        if cut == Some(CutAt::BeforeWork) {
            return Reply::Close;
        }
        let done = self.execute(call);
        let work = Duration::from_millis(self.lock().fault.work_ms.unwrap_or(0));
        if !work.is_zero() {
            task::sleep(work).await;
        }
        self.lock().running -= 1;
        let response = self.respond(call, &done);
        match cut {
            None => Reply::Answer(response),
            Some(CutAt::InHead) => Reply::Part(response, Cut::InHead),
            Some(CutAt::AfterHead) => Reply::Part(response, Cut::AfterHead),
            Some(CutAt::InBody) => Reply::Part(response, Cut::InBody),
            Some(CutAt::BeforeHead | CutAt::BeforeWork) => Reply::Close,
        }
    }

    fn next_cut(&self) -> Option<CutAt> {
        let mut state = self.lock();
        let left = state.fault.cut.filter(|left| *left > 0)?;
        state.fault.cut = Some(left - 1);
        Some(state.fault.cut_at.unwrap_or(CutAt::BeforeHead))
    }

    /// Counts the call as executed and returns the result.
    fn execute(&self, call: &Call) -> Done {
        let key = call.header(headers::IDEMPOTENCY_KEY).map(str::to_owned);
        let request = call.header(headers::REQUEST_ID).map(str::to_owned);
        let mut state = self.lock();
        state.running += 1;
        state.executed += 1;
        match (&key, &request) {
            (Some(key), _) => *state.executions.by_key.entry(key.clone()).or_default() += 1,
            (None, Some(request)) => *state.executions.by_request.entry(request.clone()).or_default() += 1,
            (None, None) => (),
        }
        let echo = String::from_utf8_lossy(&call.body).into_owned();
        Done {
            path: call.path().to_owned(),
            key,
            request,
            execution: state.executed,
            echo,
        }
    }

    fn respond(&self, call: &Call, done: &Done) -> Response {
        let status = self.lock().fault.status.map(StatusCode::try_from);
        let mut response = http::json(status.and_then(Result::ok).unwrap_or(StatusCode::Ok), done);
        response.insert_header(headers::INCARNATION, self.incarnation.to_string());
        let Some(request) = call.header(headers::REQUEST_ID) else {
            return response;
        };
        let mut state = self.lock();
        match state.fault.cross_answers.filter(|left| *left > 0) {
            Some(left) => {
                state.fault.cross_answers = Some(left - 1);
                response.insert_header(headers::REQUEST_ID, format!("{request}-other"));
            }
            None => drop(response.insert_header(headers::REQUEST_ID, request)),
        }
        response
    }

    fn set_fault(&self, call: &Call) -> Reply {
        let Some(new) = call.json::<Fault>() else {
            return status(StatusCode::BadRequest);
        };
        let mut state = self.lock();
        let old = state.fault.clone();
        state.fault = Fault {
            leaving: new.leaving.or(old.leaving),
            hang: new.hang.or(old.hang),
            work_ms: new.work_ms.or(old.work_ms),
            cut: new.cut.or(old.cut),
            cut_at: new.cut_at.or(old.cut_at),
            cross_answers: new.cross_answers.or(old.cross_answers),
            status: new.status.or(old.status),
        };
        status(StatusCode::NoContent)
    }
}

fn ok<T: serde::Serialize>(value: &T) -> Reply {
    Reply::Answer(http::json(StatusCode::Ok, value))
}
