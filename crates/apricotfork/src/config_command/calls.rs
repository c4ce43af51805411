//! Makes the platform calls requested by the state machines of the `config` crate.

use super::ConfigError;
use async_std::task;
use config::{Answer, Call, Loader, Loading, Next, Outcome, Stored, Submission, View};
use ids::Version;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use store::{Platform, Written};
use wire::platform::{Entry, Put};

/// Timeout of one call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a command retries failed calls.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Creates a platform client with the timeout for commands.
pub fn client(address: SocketAddr) -> Platform {
    Platform::new(vec![address], TIMEOUT)
}

/// Reads the configuration in force.
pub async fn load(platform: &Platform) -> Result<View, ConfigError> {
    let mut loader = Loader::new();
    let mut call = loader.call();
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        let Answer::Found(stored) = execute(platform, &call).await else {
            wait_for_retry(deadline).await?;
            continue;
        };
        match loader.on(stored) {
            Loading::Read(next) => call = next,
            Loading::Loaded(view, _) => return Ok(*view),
            Loading::Empty(_) => return Err(ConfigError::Empty),
            Loading::Damaged(err) => return Err(err.into()),
        }
    }
}

/// Submits a change and retries failed calls.
pub async fn submit(platform: &Platform, submission: &mut Submission) -> Outcome {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    let mut call = submission.call();
    loop {
        let answer = execute(platform, &call).await;
        match submission.on(answer) {
            Next::Call(next) => call = next,
            Next::Retry(next) => {
                call = next;
                if wait_for_retry(deadline).await.is_err() {
                    return submission.give_up();
                }
            }
            Next::Done(outcome) => return outcome,
        }
    }
}

/// Deletes unused keys. Failures are ignored, because an unused key only takes up a few bytes.
pub async fn delete(platform: &Platform, keys: &[String]) {
    for key in keys {
        if let Ok(Some(entry)) = platform.get(key).await {
            let put = Put {
                key: key.clone(),
                value: None,
                expect: entry.version,
                lease: None,
            };
            let _ = platform.put(&put).await;
        }
    }
}

async fn wait_for_retry(deadline: Instant) -> Result<(), ConfigError> {
    if Instant::now() > deadline {
        return Err(ConfigError::Platform);
    }
    task::sleep(RETRY_DELAY).await;
    Ok(())
}

async fn execute(platform: &Platform, call: &Call) -> Answer {
    match call {
        Call::Read(key) => match platform.get(key).await {
            Ok(entry) => Answer::Found(stored(entry)),
            Err(_) => Answer::Failed,
        },
        Call::Write { key, text, expect } => {
            let put = Put {
                key: key.clone(),
                value: Some(text.clone()),
                expect: *expect,
                lease: None,
            };
            match platform.put(&put).await {
                Ok(Written::Done(_)) => Answer::Written,
                Ok(Written::Conflict(entry)) => Answer::Found(stored(Some(entry))),
                Err(_) => Answer::Failed,
            }
        }
    }
}

fn stored(entry: Option<Entry>) -> Stored {
    match entry {
        Some(entry) => Stored {
            text: entry.value,
            version: entry.version,
        },
        None => Stored {
            text: None,
            version: Version(0),
        },
    }
}
