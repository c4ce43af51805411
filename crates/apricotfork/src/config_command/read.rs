//! Read-only commands.

use super::arguments::{Diff, History, Show, Verify};
use super::{ConfigError, calls};
use config::{Difference, REFUSED_KEY, Record, RefusedLog, Section, View, section_text, verify_chain};
use serde_json::{Map, Value};
use std::fs;

/// Prints the document or a section. The digest goes to standard error, so that standard output is plain JSON.
pub async fn show(args: &Show) -> Result<(), ConfigError> {
    let view = calls::load(&calls::client(args.platform)).await?;
    let shown = match args.section {
        Some(section) => {
            eprintln!(
                "revision {}, digest {}",
                view.head.revision, view.head.sections[&section].digest
            );
            value(&view, section)?
        }
        None => {
            eprintln!("revision {}", view.head.revision);
            all_sections(&view)?
        }
    };
    println!("{}", serde_json::to_string_pretty(&shown)?);
    Ok(())
}

/// Prints the changes that a file would make to a section.
pub async fn diff(args: &Diff) -> Result<(), ConfigError> {
    let text = fs::read_to_string(&args.file).map_err(|err| ConfigError::File(args.file.clone(), err))?;
    let proposed: Value = serde_json::from_str(&text)?;
    let view = calls::load(&calls::client(args.platform)).await?;
    print_differences(&value(&view, args.section)?, &proposed);
    Ok(())
}

/// Prints the audit trail.
pub async fn history(args: &History) -> Result<(), ConfigError> {
    let platform = calls::client(args.platform);
    if args.refused {
        for attempt in refused(&platform).await?.attempts {
            println!(
                "{} {} {} refused: {}",
                attempt.at, attempt.operator, attempt.section, attempt.reason
            );
        }
        return Ok(());
    }
    let view = calls::load(&platform).await?;
    if view.log.checkpoint.revision.0 > 0 {
        println!(
            "earlier revisions, up to {}, are no longer stored",
            view.log.checkpoint.revision
        );
    }
    view.log.records.iter().for_each(print_record);
    Ok(())
}

/// Checks the integrity of the audit trail.
pub async fn verify(args: &Verify) -> Result<(), ConfigError> {
    let platform = calls::client(args.platform);
    let view = calls::load(&platform).await?;
    verify_chain(&view.head, &view.log)?;
    if !refused(&platform).await?.verify() {
        return Err(ConfigError::RefusedChain);
    }
    println!("the audit trail is intact up to revision {}", view.head.revision);
    Ok(())
}

/// Prints the differences, one per line.
pub fn print_differences(before: &Value, after: &Value) {
    for Difference { path, before, after } in config::diff(before, after) {
        let text = |value: Option<Value>| value.map_or_else(|| "nothing".to_owned(), |value| value.to_string());
        println!("{path}: {} -> {}", text(before), text(after));
    }
}

/// Returns a section as JSON.
pub fn value(view: &View, section: Section) -> Result<Value, ConfigError> {
    Ok(serde_json::from_str(&section_text(&view.document, section))?)
}

/// Prints one accepted change.
pub fn print_record(record: &Record) {
    let sections: Vec<String> = record
        .moves
        .iter()
        .map(|change| format!("{} {}", change.section, change.to))
        .collect();
    println!(
        "revision {} at {} by {}: {}",
        record.revision,
        record.at,
        record.operator,
        sections.join(", ")
    );
}

/// Reads the trail of refused attempts. It is empty if the key does not exist.
pub async fn refused(platform: &store::Platform) -> Result<RefusedLog, ConfigError> {
    let entry = platform.get(REFUSED_KEY).await.map_err(|_| ConfigError::Platform)?;
    let text = entry.and_then(|entry| entry.value);
    text.map_or_else(|| Ok(RefusedLog::default()), |text| Ok(serde_json::from_str(&text)?))
}

fn all_sections(view: &View) -> Result<Value, ConfigError> {
    let mut sections = Map::new();
    for section in Section::ALL {
        sections.insert(section.to_string(), value(view, section)?);
    }
    Ok(Value::Object(sections))
}
