//! The `apricotfork status` command.

use crate::arguments::Status;
use crate::exit;
use async_std::task;
use http::{BodyError, Client, Method, Request, SendError, Url};
use quick_error::quick_error;
use std::process::ExitCode;
use std::time::Duration;

/// Timeout of the request to the router.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a status.
const MAX_STATUS_BYTES: u64 = 1 << 20;

quick_error! {
    /// Why a router's status cannot be shown.
    #[derive(Debug)]
    enum StatusError {
        /// The request failed.
        Send(err: SendError) {
            from()
            display("{err}")
        }
        /// The response body is incomplete or too large.
        Body(err: BodyError) {
            from()
            display("{err}")
        }
        /// The response is not a valid status.
        Json(err: serde_json::Error) {
            from()
            display("{err}")
        }
    }
}

/// Prints a router's status as JSON.
pub fn run(args: &Status) -> ExitCode {
    match task::block_on(fetch(args)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => exit::failed(format_args!("{}: {err}", args.router)),
    }
}

async fn fetch(args: &Status) -> Result<String, StatusError> {
    let url = Url::parse(&format!("http://{}/status", args.router)).expect("a socket address makes a URL");
    let response = Client::new()
        .send(args.router, Request::new(Method::Get, url), &[], TIMEOUT)
        .await?;
    let body = response.read_body(MAX_STATUS_BYTES, TIMEOUT).await?;
    let status: router::Status = serde_json::from_slice(&body)?;
    Ok(serde_json::to_string_pretty(&status)?)
}
