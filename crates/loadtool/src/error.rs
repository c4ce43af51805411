//! The errors of the tool.

use quick_error::quick_error;
use standins::http::ClientError;
use std::io;

quick_error! {
    /// Why the tool failed.
    #[derive(Debug)]
    pub enum ToolError {
        /// An I/O error of a process or a file.
        Io(subject: String, err: io::Error) { display("{subject}: {err}") source(err) }
        /// An HTTP call of the tool failed.
        Client(err: ClientError) { from() display("{err}") source(err) }
        /// The configuration document was refused.
        Refused(err: config::ChangeRefused) { from() display("configuration: {err}") source(err) }
        /// An HTTP call of the tool returned an unexpected status.
        Status(subject: &'static str, status: u16) { display("{subject}: status {status}") }
        /// A file is not valid JSON of the expected type.
        Json(subject: String, err: serde_json::Error) { display("{subject}: {err}") source(err) }
        /// An operation timed out.
        Timeout(subject: &'static str) { display("{subject} took too long") }
        /// Drawing a plot failed.
        Plot(subject: String) { display("plot: {subject}") }
        /// The counts of clients and stand-ins differ, or a guarantee was violated.
        Accounting(problems: usize) { display("{problems} errors in the accounting") }
        /// A setting is out of bounds.
        OutOfBounds(subject: &'static str) { display("{subject} is out of bounds") }
    }
}

impl ToolError {
    /// Returns a conversion for `map_err` that adds the subject to an I/O error.
    pub fn io(subject: impl ToString) -> impl FnOnce(io::Error) -> Self {
        move |err| Self::Io(subject.to_string(), err)
    }
}
