//! The `apricotfork gateway` command.

use crate::arguments::Gateway;
use crate::{exit, logs, settings};
use async_channel::Sender;
use async_std::task;
use futures::StreamExt;
use gateway::{Addresses, RunError, Settings, Signal, read_settings};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Interval between checks for a settings file that changed without a signal. Changes of settings are not urgent.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Capacity of the signal channel. A few entries suffice, because repeated signals have the same effect.
const SIGNAL_CAPACITY: usize = 8;

/// Runs a router until it receives a stop signal.
pub fn run(args: &Gateway) -> ExitCode {
    let (settings, text) = match settings::read(&args.settings, read_settings) {
        Ok(read) => read,
        Err(code) => return code,
    };
    if let Err(err) = logs::start_lines(&settings.log_level) {
        return exit::failed(err);
    }
    match task::block_on(serve(settings, args.settings.clone(), text)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err @ RunError::Cut(_)) => exit::cut(err),
        Err(err) => exit::failed(err),
    }
}

async fn serve(settings: Settings, file: PathBuf, text: String) -> Result<(), RunError> {
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(RunError::Thread)?;
    let (sender, receiver) = async_channel::bounded(SIGNAL_CAPACITY);
    task::spawn(watch(signals, sender, file, text));
    gateway::run(settings, platform::dialect(), announce, receiver).await
}

/// Forwards process signals and changed settings to the router.
async fn watch(mut signals: Signals, sender: Sender<Signal>, file: PathBuf, mut current: String) {
    loop {
        let next = async_std::future::timeout(RELOAD_INTERVAL, signals.next()).await;
        let message = match next {
            Ok(Some(SIGTERM | SIGINT)) => Some(Signal::Stop),
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => reload(&file, &mut current),
        };
        let Some(message) = message else { continue };
        if sender.send(message).await.is_err() {
            return;
        }
    }
}

/// Reads the file and returns its settings if it has changed. Invalid settings are logged and not applied.
fn reload(file: &Path, current: &mut String) -> Option<Signal> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(err) => {
            log::error!("cannot reload settings: {err}");
            return None;
        }
    };
    if text == *current {
        return None;
    }
    *current = text;
    match read_settings(current) {
        Ok(settings) => Some(Signal::Reload(Box::new(settings))),
        Err(problems) => {
            for problem in problems {
                log::error!("invalid settings: {problem}");
            }
            None
        }
    }
}

/// Prints the bound addresses for the parent process. The system may have chosen the ports.
fn announce(addresses: Addresses) {
    println!("listening on {} readiness {}", addresses.callers, addresses.readiness);
}
