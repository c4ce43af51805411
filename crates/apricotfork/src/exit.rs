//! Exit codes; `apricotfork --help` documents them.

use std::fmt::Display;
use std::process::ExitCode;

/// The request was refused or the input is invalid.
const REFUSED: u8 = 1;
/// Internal failure, or a remote address cannot be reached.
const FAILED: u8 = 2;
/// Requests in flight were aborted at the end of a shutdown.
const CUT: u8 = 3;

/// Reports a refused request or invalid input.
pub fn refused(err: impl Display) -> ExitCode {
    report(err, REFUSED)
}

/// Reports an internal failure or an unreachable address.
pub fn failed(err: impl Display) -> ExitCode {
    report(err, FAILED)
}

/// Reports that requests in flight were aborted.
pub fn cut(err: impl Display) -> ExitCode {
    report(err, CUT)
}

/// Reports an invalid command line.
pub fn usage(err: impl Display) -> ExitCode {
    report(err, REFUSED)
}

fn report(err: impl Display, code: u8) -> ExitCode {
    eprintln!("apricotfork: {err}");
    ExitCode::from(code)
}
