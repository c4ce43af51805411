//! The command line.

use crate::config_command::Config;
use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Routes language-model traffic with long shared prompts.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} serve --settings router.json",
    example = "{command_name} gateway --settings gateway.json",
    example = "{command_name} check router.json",
    example = "{command_name} status --router 127.0.0.1:9090",
    error_code(0, "done"),
    error_code(1, "refused, or something is wrong with the input"),
    error_code(2, "the program failed or something cannot be reached"),
    error_code(3, "requests in flight were cut at the end of a shutdown")
)]
pub struct Arguments {
    /// print the version
    #[argh(switch)]
    pub version: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run a router.
    Serve(Serve),
    /// Run a router on the users' platform.
    Gateway(Gateway),
    /// Check a file.
    Check(Check),
    /// The configuration.
    Config(Config),
    /// Ask a router.
    Status(Status),
}

/// Run a router until a signal ends it: the first one gracefully, the second at once.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings of this router, a JSON file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Run a router in front of the routed services of the users' platform until a signal ends it: the first one
/// gracefully, the second at once. Settings are read again on SIGHUP and whenever the file changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Gateway {
    /// settings of this router, a JSON file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Check a router's settings or a configuration document, and list every error with its JSON path.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the file; a document is told from settings by its sections, a gateway's settings by `readiness`
    #[argh(positional)]
    pub file: PathBuf,
}

/// Ask a running router for its state.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// the router's address for operators
    #[argh(option)]
    pub router: SocketAddr,
}
