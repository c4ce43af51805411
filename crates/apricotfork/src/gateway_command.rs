//! `apricotfork gateway`.

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

/// How often the settings file is looked at: it may change without a signal, and nothing in it is urgent.
const LOOK: Duration = Duration::from_secs(2);
/// What is told waits here; more than a few signals at once mean the same.
const QUEUE: usize = 8;

/// Runs a router until it is told to stop.
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
    let (sender, told) = async_channel::bounded(QUEUE);
    task::spawn(watch(signals, sender, file, text));
    gateway::run(settings, platform::dialect(), announce, told).await
}

/// Passes signals on, and settings that have changed.
async fn watch(mut signals: Signals, told: Sender<Signal>, file: PathBuf, mut known: String) {
    loop {
        let next = async_std::future::timeout(LOOK, signals.next()).await;
        let message = match next {
            Ok(Some(SIGTERM | SIGINT)) => Some(Signal::Stop),
            Ok(None) => return,
            Ok(Some(_)) | Err(_) => reread(&file, &mut known),
        };
        let Some(message) = message else { continue };
        if told.send(message).await.is_err() {
            return;
        }
    }
}

/// Settings that differ from those that are known; ones with errors leave the last ones in force.
fn reread(file: &Path, known: &mut String) -> Option<Signal> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(err) => {
            log::error!("settings cannot be read again: {err}");
            return None;
        }
    };
    if text == *known {
        return None;
    }
    *known = text;
    match read_settings(known) {
        Ok(settings) => Some(Signal::Reload(Box::new(settings))),
        Err(problems) => {
            for problem in problems {
                log::error!("settings: {problem}");
            }
            None
        }
    }
}

/// One line for whoever started this process, with the ports the system gave.
fn announce(addresses: Addresses) {
    println!("listening on {} readiness {}", addresses.callers, addresses.readiness);
}
