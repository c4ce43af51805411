//! Why the tool gave up.

use quick_error::quick_error;
use standins::http::ClientError;
use std::io;

quick_error! {
    /// Why the tool gave up.
    #[derive(Debug)]
    pub enum ToolError {
        /// A process or a file.
        Io(what: String, err: io::Error) { display("{what}: {err}") source(err) }
        /// A call of the tool itself.
        Client(err: ClientError) { from() display("{err}") source(err) }
        /// The configuration document is not accepted.
        Refused(err: config::ChangeRefused) { from() display("configuration: {err}") source(err) }
        /// A call of the tool itself was answered with this status.
        Status(what: &'static str, status: u16) { display("{what}: status {status}") }
        /// A file is not what it should be.
        Json(what: String, err: serde_json::Error) { display("{what}: {err}") source(err) }
        /// Something did not happen in time.
        Late(what: &'static str) { display("{what} took too long") }
        /// The plot can't be drawn.
        Plot(what: String) { display("plot: {what}") }
        /// Callers' and stand-ins' counts differ, or a promise was broken.
        Accounting(problems: usize) { display("{problems} errors in the accounting") }
        /// A bound of the tool.
        Bound(what: &'static str) { display("{what} is out of bounds") }
    }
}

impl ToolError {
    /// For `map_err`: an I/O error with what it concerns.
    pub fn io(what: impl ToString) -> impl FnOnce(io::Error) -> Self {
        move |err| Self::Io(what.to_string(), err)
    }
}
