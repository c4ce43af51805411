//! Development tasks of the workspace, run as `cargo xtask NAME`.

use argh::FromArgs;
use quick_error::quick_error;
use std::fs;
use std::process::{Command, ExitCode, ExitStatus};

const KNOWN_RED: &str = "KNOWN-RED.txt";
const MAX_KNOWN_RED: usize = 7;

/// Development tasks of the workspace.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Demo(Demo),
    Test(Test),
}

/// Build everything and start a complete deployment on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Run all tests except those listed in KNOWN-RED.txt, and print the exceptions.
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
struct Test {}

quick_error! {
    /// Why a task failed.
    #[derive(Debug)]
    enum Error {
        /// A file or a program could not be used.
        Io(err: std::io::Error) {
            from()
            display("{err}")
        }
        /// A program exited with a failure.
        Failed(program: &'static str, status: ExitStatus) {
            display("{program}: {status}")
        }
        /// The list of known failures is too long.
        TooManyKnownRed(count: usize) {
            display("{KNOWN_RED} lists {count} tests, at most {MAX_KNOWN_RED} are allowed")
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Subcommand::Demo(_) => demo(),
        Subcommand::Test(_) => test(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err}");
            ExitCode::FAILURE
        }
    }
}

fn demo() -> Result<(), Error> {
    build()?;
    cargo(&["run", "--package", "loadtool", "--quiet", "--", "demo"])
}

/// Builds all binaries, because the demo and the tests start them as processes.
fn build() -> Result<(), Error> {
    cargo(&["build", "--workspace", "--bins", "--locked", "--quiet"])
}

fn test() -> Result<(), Error> {
    let known_red = known_red()?;
    build()?;
    let mut args = vec![
        "test",
        "--workspace",
        "--locked",
        "--no-fail-fast",
        "--tests",
        "--",
        "--quiet",
    ];
    for test in &known_red {
        println!("known red, not run: {test}");
        args.extend(["--skip", test.split(',').next().unwrap_or(test).trim()]);
    }
    cargo(&args)
}

fn known_red() -> Result<Vec<String>, Error> {
    let text = fs::read_to_string(KNOWN_RED)?;
    let lines: Vec<String> = text
        .lines()
        .filter(|line| !line.trim().is_empty())
        .map(str::to_owned)
        .collect();
    if lines.len() > MAX_KNOWN_RED {
        return Err(Error::TooManyKnownRed(lines.len()));
    }
    Ok(lines)
}

fn cargo(args: &[&str]) -> Result<(), Error> {
    let status = Command::new("cargo").args(args).status()?;
    if status.success() {
        return Ok(());
    }
    Err(Error::Failed("cargo", status))
}
