//! Settings files, of either kind of router.

use crate::exit;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

/// Reads and checks a file; the settings, and the text they were read from.
///
/// # Errors
/// Every error was printed; the exit code tells whether the file or its contents are at fault.
pub fn read<S, P: Display>(file: &Path, check: impl Fn(&str) -> Result<S, Vec<P>>) -> Result<(S, String), ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|err| exit::failed(format_args!("{}: {err}", file.display())))?;
    let settings = check(&text).map_err(|problems| {
        for problem in &problems {
            eprintln!("{}: {problem}", file.display());
        }
        exit::refused(format_args!("{} errors in the settings", problems.len()))
    })?;
    Ok((settings, text))
}
