//! Calls to the platform for the machines of the `config` crate.

use super::ConfigError;
use async_std::task;
use config::{Answer, Call, Loader, Loading, Next, Outcome, Stored, Submission, View};
use ids::Version;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use store::{Platform, Written};
use wire::platform::{Entry, Put};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a command goes on while the platform does not answer.
const PATIENCE: Duration = Duration::from_secs(30);
/// Pause before a call is made again.
const PAUSE: Duration = Duration::from_millis(500);

/// A client for commands.
pub fn client(address: SocketAddr) -> Platform {
    Platform::new(vec![address], TIMEOUT)
}

/// Reads what is in force.
pub async fn load(platform: &Platform) -> Result<View, ConfigError> {
    let mut loader = Loader::new();
    let mut call = loader.call();
    let until = Instant::now() + PATIENCE;
    loop {
        let Answer::Found(stored) = make(platform, &call).await else {
            pause(until).await?;
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

/// Carries a change through.
pub async fn submit(platform: &Platform, submission: &mut Submission) -> Outcome {
    let until = Instant::now() + PATIENCE;
    let mut call = submission.call();
    loop {
        let answer = make(platform, &call).await;
        match submission.on(answer) {
            Next::Call(next) => call = next,
            Next::Retry(next) => {
                call = next;
                if pause(until).await.is_err() {
                    return submission.give_up();
                }
            }
            Next::Done(outcome) => return outcome,
        }
    }
}

/// Deletes keys that nothing needs any more. One that stays costs some bytes, no more.
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

async fn pause(until: Instant) -> Result<(), ConfigError> {
    if Instant::now() > until {
        return Err(ConfigError::Platform);
    }
    task::sleep(PAUSE).await;
    Ok(())
}

async fn make(platform: &Platform, call: &Call) -> Answer {
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
