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
    /// what to do
    #[argh(subcommand)]
    pub verb: Verb,
}

/// What to do with the configuration.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Verb {
    /// The first document.
    Init(Init),
    /// Print.
    Show(Show),
    /// Replace a section.
    Set(Set),
    /// Edit a section.
    Edit(Edit),
    /// Compare.
    Diff(Diff),
    /// The audit trail.
    History(History),
    /// Check the audit trail.
    Verify(Verify),
    /// Take a change back.
    Undo(Undo),
}

/// Write the first document.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
pub struct Init {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// who you are; must be an operator of the document
    #[argh(option)]
    pub operator: String,
    /// file with your key
    #[argh(option)]
    pub key_file: PathBuf,
    /// the whole document, JSON
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
    /// the section; all without it
    #[argh(positional, from_str_fn(section))]
    pub section: Option<Section>,
}

/// Replace a section by a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// who you are
    #[argh(option)]
    pub operator: String,
    /// file with your key
    #[argh(option)]
    pub key_file: PathBuf,
    /// digest of the section as you saw it, as `show` prints it on standard error: what others changed since is not
    /// overwritten unread
    #[argh(option)]
    pub before: Digest,
    /// the section
    #[argh(positional, from_str_fn(section))]
    pub section: Section,
    /// its new content, JSON
    #[argh(positional)]
    pub file: PathBuf,
}

/// Edit a section with the editor in EDITOR.
#[derive(FromArgs)]
#[argh(subcommand, name = "edit")]
pub struct Edit {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// who you are
    #[argh(option)]
    pub operator: String,
    /// file with your key
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
    /// what to compare with, JSON
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

/// Check that the audit trail is whole.
#[derive(FromArgs)]
#[argh(subcommand, name = "verify")]
pub struct Verify {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
}

/// Undo a revision by a new change.
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
pub struct Undo {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
    /// who you are
    #[argh(option)]
    pub operator: String,
    /// file with your key
    #[argh(option)]
    pub key_file: PathBuf,
    /// the revision to undo
    #[argh(positional)]
    pub revision: u64,
}

fn section(text: &str) -> Result<Section, String> {
    let known = Section::ALL.into_iter().find(|section| section.to_string() == text);
    known.ok_or_else(|| {
        let names: Vec<String> = Section::ALL.iter().map(ToString::to_string).collect();
        format!("sections are {}", names.join(", "))
    })
}
