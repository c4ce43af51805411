//! The `apricotfork check` command.

use crate::arguments::Check;
use crate::exit;
use config::Section;
use router::read_settings;
use serde_json::Value;
use std::fmt::Display;
use std::process::ExitCode;

/// Checks a file, and prints every error.
pub fn run(args: &Check) -> ExitCode {
    let text = match std::fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(err) => return exit::failed(format_args!("{}: {err}", args.file.display())),
    };
    if is_document(&text) {
        report(config::parse(&text).map(|_| "document"))
    } else if is_gateway(&text) {
        report(gateway::read_settings(&text).map(|_| "gateway settings"))
    } else {
        report(read_settings(&text).map(|_| "settings"))
    }
}

/// Only gateway settings have `readiness`, the address that the load balancer probes.
fn is_gateway(text: &str) -> bool {
    let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
        return false;
    };
    fields.contains_key("readiness")
}

/// The sections of a document are JSON objects. Settings also have a field `operators`, but it is an address.
fn is_document(text: &str) -> bool {
    let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
        return false;
    };
    let is_section = |section: &Section| fields.get(&section.to_string()).is_some_and(Value::is_object);
    Section::ALL.iter().any(is_section)
}

fn report<P: Display>(result: Result<&str, Vec<P>>) -> ExitCode {
    match result {
        Ok(kind) => {
            println!("{kind}: no errors");
            ExitCode::SUCCESS
        }
        Err(problems) => {
            for problem in &problems {
                println!("{problem}");
            }
            exit::refused(format_args!("{} errors", problems.len()))
        }
    }
}
