//! `apricotfork status`.

use crate::arguments::Status;
use crate::exit;
use async_std::task;
use http::{BodyError, Client, Method, Request, SendError, Url};
use quick_error::quick_error;
use std::process::ExitCode;
use std::time::Duration;

/// Longest wait for a router.
const WAIT: Duration = Duration::from_secs(5);
/// Longest status, bytes.
const STATUS_BYTES: u64 = 1 << 20;

quick_error! {
    /// Why a router's status cannot be shown.
    #[derive(Debug)]
    enum StatusError {
        /// No answer.
        Send(err: SendError) {
            from()
            display("{err}")
        }
        /// The answer is not whole.
        Body(err: BodyError) {
            from()
            display("{err}")
        }
        /// The answer is not a status.
        Json(err: serde_json::Error) {
            from()
            display("{err}")
        }
    }
}

/// Prints a router's status as JSON.
pub fn run(args: &Status) -> ExitCode {
    match task::block_on(ask(args)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => exit::failed(format_args!("{}: {err}", args.router)),
    }
}

async fn ask(args: &Status) -> Result<String, StatusError> {
    let url = Url::parse(&format!("http://{}/status", args.router)).expect("a socket address makes a URL");
    let reply = Client::new()
        .send(args.router, Request::new(Method::Get, url), &[], WAIT)
        .await?;
    let body = reply.read_body(STATUS_BYTES).await?;
    let status: router::Status = serde_json::from_slice(&body)?;
    Ok(serde_json::to_string_pretty(&status)?)
}
