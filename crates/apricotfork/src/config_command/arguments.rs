//! Arguments of `apricotfork config`.

use argh::FromArgs;
use config::Section;
use ids::Digest;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Show or change the configuration in the platform.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "config",
    example = "{command_name} show --platform 10.0.0.2:2379 workspaces",
    example = "{command_name} set --platform 10.0.0.2:2379 --operator asha --key-file asha.key --before DIGEST models models.json"
)]
pub struct Config {
    /// the subcommand
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// The subcommands of `apricotfork config`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Write the first document.
    Init(Init),
    /// Print the document or a section.
    Show(Show),
    /// Replace a section.
    Set(Set),
    /// Edit a section.
    Edit(Edit),
    /// Compare a section with a file.
    Diff(Diff),
    /// Print the audit trail.
    History(History),
    /// Check the audit trail.
    Verify(Verify),
    /// Undo a revision.
    Undo(Undo),
}

/// Write the first document.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
pub struct Init {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// your operator name, which must be in the document
    #[argh(option)]
    pub operator: String,
    /// file that contains your operator key
    #[argh(option)]
    pub key_file: PathBuf,
    /// the complete document, a JSON file
    #[argh(positional)]
    pub document: PathBuf,
}

/// Print the document, or one section of it.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// the section; the whole document if omitted
    #[argh(positional, from_str_fn(section))]
    pub section: Option<Section>,
}

/// Replace a section with the content of a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// your operator name
    #[argh(option)]
    pub operator: String,
    /// file that contains your operator key
    #[argh(option)]
    pub key_file: PathBuf,
    /// digest of the section that your change is based on, as `show` prints it on standard error; the change is refused
    /// if the section was changed since
    #[argh(option)]
    pub before: Digest,
    /// the section
    #[argh(positional, from_str_fn(section))]
    pub section: Section,
    /// the new content, a JSON file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Edit a section with the editor named by the environment variable EDITOR.
#[derive(FromArgs)]
#[argh(subcommand, name = "edit")]
pub struct Edit {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// your operator name
    #[argh(option)]
    pub operator: String,
    /// file that contains your operator key
    #[argh(option)]
    pub key_file: PathBuf,
    /// the section
    #[argh(positional, from_str_fn(section))]
    pub section: Section,
}

/// Compare a section with a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// the section
    #[argh(positional, from_str_fn(section))]
    pub section: Section,
    /// the JSON file to compare with
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print accepted changes, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// print refused attempts instead
    #[argh(switch)]
    pub refused: bool,
}

/// Check the integrity of the audit trail.
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
pub struct Verify {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
}

/// Undo a revision with a new change.
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
pub struct Undo {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// your operator name
    #[argh(option)]
    pub operator: String,
    /// file that contains your operator key
    #[argh(option)]
    pub key_file: PathBuf,
    /// the revision to undo
    #[argh(positional)]
    pub revision: u64,
}

fn section(text: &str) -> Result<Section, String> {
    let found = Section::ALL.into_iter().find(|section| section.to_string() == text);
    found.ok_or_else(|| {
        let names: Vec<String> = Section::ALL.iter().map(ToString::to_string).collect();
        format!("unknown section; expected one of {}", names.join(", "))
    })
}
