//! Reads settings files of `serve` and `gateway`.

use crate::exit;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

/// Reads and checks a file. Returns the settings and the text of the file.
///
/// # Errors
/// Prints every error. The exit code distinguishes an unreadable file from invalid contents.
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
