//! Exit codes; `apricotfork --help` documents them.

use std::fmt::Display;
use std::process::ExitCode;

/// Refused, or something is wrong with the input.
const REFUSED: u8 = 1;
/// The program failed or something cannot be reached.
const FAILED: u8 = 2;
/// Requests in flight were cut.
const CUT: u8 = 3;

/// Something is wrong with the input.
pub fn refused(err: impl Display) -> ExitCode {
    tell(err, REFUSED)
}

/// The program failed.
pub fn failed(err: impl Display) -> ExitCode {
    tell(err, FAILED)
}

/// Requests in flight were cut.
pub fn cut(err: impl Display) -> ExitCode {
    tell(err, CUT)
}

/// The command line is not one.
pub fn usage(err: impl Display) -> ExitCode {
    tell(err, REFUSED)
}

fn tell(err: impl Display, code: u8) -> ExitCode {
    eprintln!("apricotfork: {err}");
    ExitCode::from(code)
}
