//! Chores of the workspace, run as `cargo xtask NAME`.

use argh::FromArgs;
use quick_error::quick_error;
use std::fs;
use std::process::{Command, ExitCode, ExitStatus};

const KNOWN_RED: &str = "KNOWN-RED.txt";
const MOST_KNOWN_RED: usize = 3;

/// Chores of the workspace.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    chore: Chore,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Chore {
    Demo(Demo),
    Test(Test),
}

/// Build everything and start the whole path on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Run all tests but those listed in KNOWN-RED.txt, which are printed.
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
struct Test {}

quick_error! {
    /// Why a chore failed.
    #[derive(Debug)]
    enum Error {
        /// A file or a program could not be used.
        Io(err: std::io::Error) {
            from()
            display("{err}")
        }
        /// A program failed.
        Failed(program: &'static str, status: ExitStatus) {
            display("{program}: {status}")
        }
        /// The list of known failures is too long.
        TooManyKnownRed(count: usize) {
            display("{KNOWN_RED} lists {count} tests, at most {MOST_KNOWN_RED} are allowed")
        }
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.chore {
        Chore::Demo(_) => demo(),
        Chore::Test(_) => test(),
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

/// The programs are started as processes, by tests as well.
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
    if lines.len() > MOST_KNOWN_RED {
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
