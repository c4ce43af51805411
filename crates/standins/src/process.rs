//! Starts a stand-in or a router as a child process and parses its address from the line that it prints.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

const ADDRESS_PREFIX: &str = "listening on ";

/// A running server process, killed on drop.
#[derive(Debug)]
pub struct Running {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The line that it printed. A router prints its other addresses there as well.
    pub line: String,
    child: Child,
}

impl Running {
    /// Starts `program` and waits for the line with its address.
    ///
    /// # Errors
    /// If the process can't be started or exits before it prints that line.
    pub fn start(program: &Path, args: &[&str]) -> io::Result<Self> {
        Self::start_with(Command::new(program).args(args))
    }

    /// Starts `command` and waits for the line with its address.
    ///
    /// # Errors
    /// If the process can't be started or exits before it prints that line.
    pub fn start_with(command: &mut Command) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let read = BufReader::new(output).read_line(&mut line);
        let mut words = line.strip_prefix(ADDRESS_PREFIX).unwrap_or_default().split_whitespace();
        let address = words.next().and_then(|text| text.parse().ok());
        match (read, address) {
            (Ok(_), Some(address)) => Ok(Self { address, line, child }),
            _ => {
                let _ = child.kill();
                let _ = child.wait();
                Err(io::ErrorKind::InvalidData.into())
            }
        }
    }

    /// All addresses that it printed: a stand-in with several copies has one for each.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.line
            .split_whitespace()
            .filter_map(|word| word.parse().ok())
            .collect()
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    /// If waiting for the process fails.
    pub fn wait(mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
