//! The `apricotfork` binary: command line, logs and signals.

mod arguments;
mod check;
mod config_command;
mod exit;
mod gateway_command;
mod logs;
mod serve;
mod settings;
mod status;

use arguments::{Arguments, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        println!("apricotfork {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match arguments.command {
        Some(Command::Serve(serve)) => serve::run(&serve),
        Some(Command::Gateway(gateway)) => gateway_command::run(&gateway),
        Some(Command::Check(check)) => check::run(&check),
        Some(Command::Config(config)) => config_command::run(&config),
        Some(Command::Status(status)) => status::run(&status),
        None => exit::usage("missing command; see `apricotfork --help`"),
    }
}
