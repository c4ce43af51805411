//! The `apricotfork config` command, which shows and changes the configuration stored in the platform.
//!
//! State machines of the `config` crate decide which call to make next. This module makes the calls and prints results.

mod arguments;
mod calls;
mod change;
mod read;

pub use arguments::Config;

use crate::exit;
use arguments::ConfigCommand;
use async_std::task;
use config::{AssembleError, ChainError, Outcome, UndoError};
use quick_error::quick_error;
use std::path::PathBuf;
use std::process::ExitCode;

quick_error! {
    /// Why a configuration command failed.
    #[derive(Debug)]
    pub enum ConfigError {
        /// A file cannot be read or written.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
        }
        /// The editor could not be run.
        Editor(err: std::io::Error) {
            display("cannot run the editor named by EDITOR: {err}")
        }
        /// The platform did not answer in time.
        Platform {
            display("the platform does not respond; nothing was changed")
        }
        /// The platform has no document.
        Empty {
            display("the platform has no document; create it with `apricotfork config init`")
        }
        /// The stored configuration is not a valid document.
        Damaged(err: AssembleError) {
            from()
            display("the stored configuration is damaged: {err}")
        }
        /// Invalid JSON.
        Json(err: serde_json::Error) {
            from()
            display("invalid JSON: {err}")
        }
        /// The hash chain of the audit trail is broken.
        Chain(err: ChainError) {
            from()
            display("{err}")
        }
        /// The hash chain of the refused attempts is broken.
        RefusedChain {
            display("the hash chain of the refused attempts is broken")
        }
        /// The revision cannot be undone.
        Undo(err: UndoError) {
            from()
            display("{err}")
        }
        /// The change was not accepted, or its outcome is unknown.
        NotAccepted(outcome: Outcome) {
            display("{}", change::explain(outcome))
        }
    }
}

impl ConfigError {
    /// Whether the request itself was at fault, rather than the platform or the environment.
    fn refused(&self) -> bool {
        match self {
            Self::NotAccepted(outcome) => matches!(outcome, Outcome::Refused(_)),
            Self::Empty | Self::Json(_) | Self::Undo(_) => true,
            _ => false,
        }
    }
}

/// Runs the command.
pub fn run(args: &Config) -> ExitCode {
    let result = task::block_on(async {
        match &args.command {
            ConfigCommand::Init(init) => change::init(init).await,
            ConfigCommand::Show(show) => read::show(show).await,
            ConfigCommand::Set(set) => change::set(set).await,
            ConfigCommand::Edit(edit) => change::edit(edit).await,
            ConfigCommand::Diff(diff) => read::diff(diff).await,
            ConfigCommand::History(history) => read::history(history).await,
            ConfigCommand::Verify(verify) => read::verify(verify).await,
            ConfigCommand::Undo(undo) => change::undo(undo).await,
        }
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) if err.refused() => exit::refused(err),
        Err(err) => exit::failed(err),
    }
}
