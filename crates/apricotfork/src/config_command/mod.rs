//! `apricotfork config`: shows and changes the configuration in the platform.
//!
//! The machines of the `config` crate say which call comes next; this folder makes the calls and prints.

mod arguments;
mod calls;
mod change;
mod read;

pub use arguments::Config;

use crate::exit;
use arguments::Verb;
use async_std::task;
use config::{AssembleError, ChainError, Outcome, UndoError};
use quick_error::quick_error;
use std::path::PathBuf;
use std::process::ExitCode;

quick_error! {
    /// Why a command on the configuration did not do what was asked.
    #[derive(Debug)]
    pub enum ConfigError {
        /// A file cannot be read or written.
        File(path: PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
        }
        /// The editor could not be run.
        Editor(err: std::io::Error) {
            display("the editor in EDITOR cannot be run: {err}")
        }
        /// The platform did not answer in time.
        Platform {
            display("the platform does not answer; nothing was changed")
        }
        /// There is no document yet.
        Empty {
            display("there is no document yet; write the first with `apricotfork config init`")
        }
        /// What is stored does not make a document.
        Damaged(err: AssembleError) {
            from()
            display("what is stored is damaged: {err}")
        }
        /// A text is not JSON.
        Json(err: serde_json::Error) {
            from()
            display("not JSON: {err}")
        }
        /// The audit trail does not hold together.
        Chain(err: ChainError) {
            from()
            display("{err}")
        }
        /// The trail of refused attempts does not hold together.
        RefusedChain {
            display("the trail of refused attempts does not hold together")
        }
        /// The revision cannot be undone.
        Undo(err: UndoError) {
            from()
            display("{err}")
        }
        /// The change did not come to its end.
        Ended(outcome: Outcome) {
            display("{}", change::explain(outcome))
        }
    }
}

impl ConfigError {
    /// Whether the fault lies in what was asked, not in what could not be reached.
    fn refused(&self) -> bool {
        match self {
            Self::Ended(outcome) => matches!(outcome, Outcome::Refused(_)),
            Self::Empty | Self::Json(_) | Self::Undo(_) => true,
            _ => false,
        }
    }
}

/// Runs the command.
pub fn run(args: &Config) -> ExitCode {
    let done = task::block_on(async {
        match &args.verb {
            Verb::Init(init) => change::init(init).await,
            Verb::Show(show) => read::show(show).await,
            Verb::Set(set) => change::set(set).await,
            Verb::Edit(edit) => change::edit(edit).await,
            Verb::Diff(diff) => read::diff(diff).await,
            Verb::History(history) => read::history(history).await,
            Verb::Verify(verify) => read::verify(verify).await,
            Verb::Undo(undo) => change::undo(undo).await,
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) if err.refused() => exit::refused(err),
        Err(err) => exit::failed(err),
    }
}
