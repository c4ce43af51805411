//! Commands that change the configuration.

use super::arguments::{Edit, Init, Set, Undo};
use super::{ConfigError, calls, read};
use config::{
    Change, ChangeId, ChangeRefused, Intent, OperatorKey, Outcome, REFUSED_KEY, Submission, UnixMillis, undo_source,
};
use ids::{Revision, Version};
use std::fmt::Write;
use std::fs;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::path::Path;
use std::process::Command;
use std::time::{SystemTime, UNIX_EPOCH};
use store::Platform;
use wire::platform::Put;

/// Used if the environment variable EDITOR is not set.
const DEFAULT_EDITOR: &str = "vi";

/// Writes the first document.
pub async fn init(args: &Init) -> Result<(), ConfigError> {
    let text = file(&args.document)?;
    let intent = Intent::First {
        id: new_id(),
        operator: args.operator.clone(),
        text,
    };
    submit(&calls::client(args.platform), intent, key(&args.key_file)?).await
}

/// Replaces a section.
pub async fn set(args: &Set) -> Result<(), ConfigError> {
    let change = Change {
        id: new_id(),
        operator: args.operator.clone(),
        section: args.section,
        before: args.before,
        after: file(&args.file)?,
    };
    submit(
        &calls::client(args.platform),
        Intent::Change(change),
        key(&args.key_file)?,
    )
    .await
}

/// Opens a section in an editor and submits the result.
pub async fn edit(args: &Edit) -> Result<(), ConfigError> {
    let platform = calls::client(args.platform);
    let view = calls::load(&platform).await?;
    let before = serde_json::to_string_pretty(&read::value(&view, args.section)?)?;
    let path = std::env::temp_dir().join(format!("apricotfork-{}-{}.json", args.section, new_id()));
    fs::write(&path, before).map_err(|err| ConfigError::File(path.clone(), err))?;
    let editor = std::env::var("EDITOR").unwrap_or_else(|_| DEFAULT_EDITOR.to_owned());
    Command::new(editor).arg(&path).status().map_err(ConfigError::Editor)?;
    let after = file(&path)?;
    println!("if the change is refused, your text is kept in {}", path.display());
    let change = Change {
        id: new_id(),
        operator: args.operator.clone(),
        section: args.section,
        before: view.head.sections[&args.section].digest,
        after,
    };
    submit(&platform, Intent::Change(change), key(&args.key_file)?).await?;
    fs::remove_file(&path).map_err(|err| ConfigError::File(path, err))
}

/// Undoes a revision with a new change.
pub async fn undo(args: &Undo) -> Result<(), ConfigError> {
    let platform = calls::client(args.platform);
    let view = calls::load(&platform).await?;
    let revision = Revision(args.revision);
    let (section, from) = undo_source(&view, revision)?;
    let entry = platform
        .get(&from.key(section))
        .await
        .map_err(|_| ConfigError::Platform)?;
    let text = entry.and_then(|entry| entry.value).unwrap_or_default();
    let change = config::undo(&view, revision, new_id(), &args.operator, &text)?;
    submit(&platform, Intent::Change(change), key(&args.key_file)?).await
}

async fn submit(platform: &Platform, intent: Intent, key: OperatorKey) -> Result<(), ConfigError> {
    let at = UnixMillis(now_ms());
    let mut submission = Submission::new(intent.clone(), key, at);
    let outcome = calls::submit(platform, &mut submission).await;
    calls::delete(platform, &submission.leftovers(&outcome)).await;
    match outcome {
        Outcome::Accepted { revision, garbage } => {
            println!("accepted as revision {revision}");
            calls::delete(platform, &garbage).await;
            Ok(())
        }
        Outcome::Refused(refused) => {
            if let Intent::Change(change) = &intent {
                record_refused(platform, change, &refused, at).await;
            }
            Err(ConfigError::NotAccepted(Outcome::Refused(refused)))
        }
        other => Err(ConfigError::NotAccepted(other)),
    }
}

/// Appends a refused attempt to the trail of refused attempts on a best-effort basis. An attempt that conflicts with
/// a concurrent write is not recorded.
async fn record_refused(platform: &Platform, change: &Change, refused: &ChangeRefused, at: UnixMillis) {
    let Ok(entry) = platform.get(REFUSED_KEY).await else {
        return;
    };
    let expect = entry.as_ref().map_or(Version(0), |entry| entry.version);
    let text = entry.and_then(|entry| entry.value);
    let Ok(mut log) = text.map_or_else(|| Ok(config::RefusedLog::default()), |text| serde_json::from_str(&text)) else {
        return;
    };
    log.record(change, refused, at);
    let Ok(text) = serde_json::to_string(&log) else { return };
    let put = Put {
        key: REFUSED_KEY.to_owned(),
        value: Some(text),
        expect,
        lease: None,
    };
    let _ = platform.put(&put).await;
}

/// Describes an outcome to the operator.
pub fn explain(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted { revision, .. } => format!("accepted as revision {revision}"),
        Outcome::Refused(refused) => explain_refused(refused),
        Outcome::Damaged => "the stored configuration is damaged; nothing was changed".to_owned(),
        Outcome::NotSent => "the platform does not respond; nothing was changed".to_owned(),
        Outcome::Undecided => {
            "the platform's response was lost and the change may have been accepted; see `apricotfork config history`"
                .to_owned()
        }
        Outcome::Unknown => "outcome unknown: the audit trail no longer covers the time of this change".to_owned(),
    }
}

fn explain_refused(refused: &ChangeRefused) -> String {
    let mut text = refused.to_string();
    match refused {
        ChangeRefused::Invalid(problems) => {
            for problem in problems {
                let _ = write!(text, "\n  {problem}");
            }
        }
        ChangeRefused::Conflict(conflict) => {
            for record in &conflict.since {
                let _ = write!(
                    text,
                    "\n  revision {} by {} at {}",
                    record.revision, record.operator, record.at
                );
            }
            let _ = write!(text, "\n  the current digest is {}", conflict.current);
        }
        _ => {}
    }
    text
}

fn file(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|err| ConfigError::File(path.to_owned(), err))
}

/// Reads a key file, which may end with a newline.
fn key(path: &Path) -> Result<OperatorKey, ConfigError> {
    Ok(OperatorKey::from(file(path)?.trim().to_owned()))
}

/// Creates an id that is unique to one command and stays the same for its retries. Two operators on different VMs may
/// run commands in the same millisecond with the same process id, so the id has random bits.
fn new_id() -> ChangeId {
    let random = RandomState::new().build_hasher().finish();
    ChangeId::from(format!("{:x}-{random:016x}", now_ms()))
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
