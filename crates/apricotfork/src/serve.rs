//! The `apricotfork serve` command.

use crate::arguments::Serve;
use crate::{exit, logs, settings};
use async_std::task;
use futures::StreamExt;
use router::{Addresses, RunError, Settings, read_settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use std::process::ExitCode;

/// Runs a router until it receives a stop signal.
pub fn run(args: &Serve) -> ExitCode {
    let (settings, _) = match settings::read(&args.settings, read_settings) {
        Ok(read) => read,
        Err(code) => return code,
    };
    if let Err(err) = logs::start(&settings.log) {
        return exit::failed(err);
    }
    match task::block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err @ RunError::Cut(_)) => exit::cut(err),
        Err(err) => exit::failed(err),
    }
}

async fn serve(settings: Settings) -> Result<(), RunError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(RunError::Thread)?;
    // A repeated signal changes nothing: the handlers stay until the process exits.
    let stop = async {
        signals.next().await;
    };
    router::run(settings, announce, stop).await
}

/// Prints the bound addresses for the parent process. The system may have chosen the ports.
fn announce(addresses: Addresses) {
    println!(
        "listening on {} operators {} peers {}",
        addresses.callers, addresses.operators, addresses.peers
    );
}
