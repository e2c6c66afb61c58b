//! The front for feature queries as a process of its own: the program under test.

use crate::sync::lock;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use thiserror::Error;

/// The name of the program's file.
const PROGRAM_NAME: &str = "quinceflow";
/// The inventory in the process's folder.
const INVENTORY: &str = "i.csv";

/// Classes with long deadlines, for checks, and one whose answers may be partial.
pub const CLASSES: &str = "
[[class]]
name = \"map\"
aim_ms = 8000
deadline_ms = 10000
[[class]]
name = \"part\"
aim_ms = 1500
deadline_ms = 2500
floor = 0.4
[[class]]
name = \"once\"
aim_ms = 8000
deadline_ms = 10000
effect = \"unsafe\"
";

/// Why the program could not be run.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// Its file is not beside this program's.
    #[error("the program is not built: cargo build --workspace")]
    NotBuilt,
    /// It could not be started or signalled, or its files could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Its log ended before a line that was waited for.
    #[error("it ended before {awaited:?}")]
    Exited {
        /// What the line was to contain.
        awaited: String,
    },
    /// The log line that gives its address has none at its end.
    #[error("{line}")]
    NoAddress {
        /// The line.
        line: String,
    },
}

/// The program, started with an edge file. It is killed, and its folder removed, when this is dropped.
pub struct EdgeProcess {
    child: Child,
    /// Where it answers clients.
    pub address: SocketAddr,
    folder: PathBuf,
    log: Mutex<Receiver<String>>,
}

/// Finds the program's file beside this program's own, or in the folder above it.
///
/// # Errors
/// If it is not there or this program's own place is unknown.
pub fn find_program() -> Result<PathBuf, ProcessError> {
    let own = std::env::current_exe()?;
    let candidates = own.ancestors().skip(1).take(2).map(|folder| folder.join(PROGRAM_NAME));
    candidates.into_iter().find(|path| path.is_file()).ok_or(ProcessError::NotBuilt)
}

impl EdgeProcess {
    /// Starts `program` with these settings, inventory rows and classes, and waits until it listens.
    ///
    /// # Errors
    /// If it can't be started or ends before it listens.
    pub fn start(program: &Path, settings: &str, rows: &str, classes: &str) -> Result<Self, ProcessError> {
        let folder = create_folder()?;
        let text = format!("listen = \"127.0.0.1:0\"\ninventory = \"{INVENTORY}\"\n{settings}\n{classes}");
        std::fs::write(folder.join("edge.toml"), text)?;
        write_inventory(&folder, rows)?;
        let mut child = Command::new(program)
            .arg("--edge")
            .arg(folder.join("edge.toml"))
            .env_remove("NODE_CONFIG")
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()?;
        let (lines, log) = channel();
        if let Some(errors) = child.stderr.take() {
            std::thread::spawn(move || {
                BufReader::new(errors).lines().map_while(Result::ok).for_each(|l| drop(lines.send(l)));
            });
        }
        let address = ([127, 0, 0, 1], 0).into();
        let mut process = EdgeProcess { child, address, folder, log: Mutex::new(log) };
        let line = process.wait_for_log("listening for client connections")?;
        let address = line.rsplit(' ').next().and_then(|word| word.strip_prefix("address=")?.parse().ok());
        process.address = address.ok_or(ProcessError::NoAddress { line })?;
        Ok(process)
    }

    /// The next line of its log that contains this.
    ///
    /// # Errors
    /// If the log ends before.
    pub fn wait_for_log(&self, text: &str) -> Result<String, ProcessError> {
        let log = lock(&self.log);
        loop {
            match log.recv() {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(_) => {}
                Err(_) => return Err(ProcessError::Exited { awaited: text.to_owned() }),
            }
        }
    }

    /// Replaces the inventory and waits until it has been read again.
    ///
    /// # Errors
    /// If it can't be written or the process ends before.
    pub fn reload_inventory(&self, rows: &str) -> Result<(), ProcessError> {
        write_inventory(&self.folder, rows)?;
        self.signal("HUP")?;
        self.wait_for_log("inventory reload").map(drop)
    }

    /// Sends a signal by its name without `SIG`.
    ///
    /// # Errors
    /// If `kill` can't be run.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status().map(drop)
    }

    /// Its memory in KiB by a name of the kernel's status page: `VmRSS` (resident) or `VmHWM` (its peak).
    #[must_use]
    pub fn memory_kib(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Its counters, as it logs them at SIGUSR1.
    ///
    /// # Errors
    /// If it ends before.
    pub fn counters(&self) -> Result<String, ProcessError> {
        self.signal("USR1")?;
        self.wait_for_log("counters")
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A folder of its own for each process that is started.
fn create_folder() -> io::Result<PathBuf> {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let number = STARTED.fetch_add(1, Relaxed);
    let folder = std::env::temp_dir().join(format!("quinceflow-testkit-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

fn write_inventory(folder: &Path, rows: &str) -> io::Result<()> {
    std::fs::write(folder.join(INVENTORY), format!("name,address,collections,state\n{rows}"))
}
