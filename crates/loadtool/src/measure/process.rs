//! CPU time and memory of a process, read from `/proc`.

use crate::error::ToolError;
use std::fs;
use std::time::Duration;

/// The CPU time of all threads since the start.
///
/// # Errors
/// If the process has ended.
pub fn cpu(id: u32) -> Result<Duration, ToolError> {
    let folder = format!("/proc/{id}/task");
    let mut total = 0;
    for thread in fs::read_dir(&folder).map_err(ToolError::io(&folder))?.flatten() {
        // A thread may end between the listing and the reading.
        let Ok(text) = fs::read_to_string(thread.path().join("schedstat")) else {
            continue;
        };
        total += text
            .split_whitespace()
            .next()
            .and_then(|nanos| nanos.parse::<u64>().ok())
            .unwrap_or(0);
    }
    Ok(Duration::from_nanos(total))
}

/// The resident memory in kilobytes.
///
/// # Errors
/// If the process has ended.
pub fn resident(id: u32) -> Result<u64, ToolError> {
    let file = format!("/proc/{id}/status");
    let text = fs::read_to_string(&file).map_err(ToolError::io(&file))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line
        .and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0))
}
