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
    error_code(1, "request refused or input invalid"),
    error_code(2, "internal failure, or a remote address cannot be reached"),
    error_code(3, "requests in flight were aborted at the end of a shutdown")
)]
pub struct Arguments {
    /// print the version
    #[argh(switch)]
    pub version: bool,
    /// the subcommand
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// The subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run a router.
    Serve(Serve),
    /// Run a router in front of the routed services of the users' platform.
    Gateway(Gateway),
    /// Check a settings file or a configuration document.
    Check(Check),
    /// Show or change the configuration.
    Config(Config),
    /// Print the status of a router.
    Status(Status),
}

/// Run a router. The first SIGTERM or SIGINT shuts it down gracefully, the second one immediately.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings of this router, a JSON file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Run a router in front of the routed services of the users' platform. The first SIGTERM or SIGINT shuts it down
/// gracefully, the second one immediately. Settings are reloaded on SIGHUP and when the file changes.
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
    /// the file; a document is recognized by its sections, gateway settings by `readiness`
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the status of a running router.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// the router's operator address
    #[argh(option)]
    pub router: SocketAddr,
}
