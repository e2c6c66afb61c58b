//! Process of the program under test: configuration files, start, log, signals and counters.

use crate::sync::lock;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use thiserror::Error;

/// File name of the program.
const PROGRAM_NAME: &str = "quinceflow";
/// File name of the edge file in the folder of a process.
const EDGE_FILE: &str = "edge.toml";
/// File name of the inventory in the folder of a process.
const INVENTORY_FILE: &str = "i.csv";

/// Settings of three classes: `map` with a long deadline, `part` with partial answers, and `once`
/// for queries that are not idempotent, whose parts are not retried if they may have run.
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

/// Reason why the program could not be run.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// Missing executable of the program.
    #[error("the program is not built: cargo build --workspace")]
    NotBuilt,
    /// Failure to start or signal the process, or to write its configuration.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// End of the log before an awaited line.
    #[error("the program exited before it logged {awaited:?}")]
    Exited {
        /// Text that the line should contain.
        awaited: String,
    },
    /// Log line without the listening address at its end.
    #[error("no address at the end of the log line {line:?}")]
    NoAddress {
        /// Text of the line.
        line: String,
    },
}

/// Running program that serves the feature front with its own edge file. Dropping this kills the
/// process and removes its folder.
pub struct FeatureFrontProcess {
    child: Child,
    /// Address that clients connect to.
    pub address: SocketAddr,
    folder: PathBuf,
    log: Mutex<Receiver<String>>,
}

/// Configuration of a process.
#[derive(Debug, Clone, Copy)]
pub struct Configuration<'a> {
    /// Top-level settings of the edge file, as TOML, except the listening address and the path of
    /// the inventory, which [`FeatureFrontProcess::start`] sets.
    pub settings: &'a str,
    /// Rows of the inventory, as CSV without the header.
    pub inventory_rows: &'a str,
    /// Tables of the edge file, such as classes and collections, as TOML.
    pub tables: &'a str,
}

impl Configuration<'_> {
    /// Writes the edge file and the inventory into a folder.
    fn write(&self, folder: &Path) -> io::Result<()> {
        let Configuration {
            settings,
            inventory_rows,
            tables,
        } = self;
        let fixed_settings = format!("listen = \"127.0.0.1:0\"\ninventory = \"{INVENTORY_FILE}\"");
        let text = format!("{fixed_settings}\n{settings}\n{tables}");
        std::fs::write(folder.join(EDGE_FILE), text)?;
        write_inventory(folder, inventory_rows)
    }
}

/// Returns the path of the program, which is in the folder of the current executable or in the
/// parent of that folder.
///
/// # Errors
/// Returns an error if the program is in neither folder, or if the path of the current executable
/// cannot be determined.
pub fn find_program() -> Result<PathBuf, ProcessError> {
    let executable = std::env::current_exe()?;
    let candidates = executable
        .ancestors()
        .skip(1)
        .take(2)
        .map(|folder| folder.join(PROGRAM_NAME));
    candidates
        .into_iter()
        .find(|path| path.is_file())
        .ok_or(ProcessError::NotBuilt)
}

impl FeatureFrontProcess {
    /// Starts `program` with this configuration and waits until it listens.
    ///
    /// # Errors
    /// Returns an error if the program can't be started or exits before it listens.
    pub fn start(program: &Path, configuration: &Configuration<'_>) -> Result<Self, ProcessError> {
        let folder = create_folder()?;
        configuration.write(&folder)?;
        let mut child = Command::new(program)
            .arg("--edge")
            .arg(folder.join(EDGE_FILE))
            .env_remove("NODE_CONFIG")
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()?;
        let log = read_log(&mut child);
        let address = ([127, 0, 0, 1], 0).into();
        let mut process = FeatureFrontProcess {
            child,
            address,
            folder,
            log: Mutex::new(log),
        };
        let line = process.wait_for_log("listening for client connections")?;
        let address = line
            .rsplit(' ')
            .next()
            .and_then(|word| word.strip_prefix("address=")?.parse().ok());
        process.address = address.ok_or(ProcessError::NoAddress { line })?;
        Ok(process)
    }

    /// Waits for the next line of the log that contains `text` and returns it.
    ///
    /// # Errors
    /// Returns an error if the log ends first.
    pub fn wait_for_log(&self, text: &str) -> Result<String, ProcessError> {
        let log = lock(&self.log);
        loop {
            match log.recv() {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(_) => {}
                Err(_) => {
                    return Err(ProcessError::Exited {
                        awaited: text.to_owned(),
                    })
                }
            }
        }
    }

    /// Replaces the inventory and waits until the program has reloaded it.
    ///
    /// # Errors
    /// Returns an error if the file can't be written or the process exits first.
    pub fn reload_inventory(&self, rows: &str) -> Result<(), ProcessError> {
        write_inventory(&self.folder, rows)?;
        self.signal("HUP")?;
        self.wait_for_log("inventory reload").map(drop)
    }

    /// Sends a signal, named without its `SIG` prefix.
    ///
    /// # Errors
    /// Returns an error if `kill` can't be run.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .map(drop)
    }

    /// Returns a memory figure of the process in KiB by its name in `/proc/PID/status`: `VmRSS`
    /// (resident) or `VmHWM` (peak).
    #[must_use]
    pub fn memory_kib(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Requests the counters of the process by SIGUSR1 and returns the line that it logs.
    ///
    /// # Errors
    /// Returns an error if the process exits first.
    pub fn counters(&self) -> Result<String, ProcessError> {
        self.signal("USR1")?;
        self.wait_for_log("counters")
    }
}

impl Drop for FeatureFrontProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Creates a folder for a process; each call creates a different one.
fn create_folder() -> io::Result<PathBuf> {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Relaxed);
    let folder = std::env::temp_dir().join(format!(
        "quinceflow-testkit-{}-{number}",
        std::process::id()
    ));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// Starts a thread that reads the log of a process from its standard error, and returns the
/// receiver of the log lines.
fn read_log(child: &mut Child) -> Receiver<String> {
    let (line_sender, log) = channel();
    if let Some(stderr) = child.stderr.take() {
        std::thread::spawn(move || {
            let lines = BufReader::new(stderr).lines().map_while(Result::ok);
            lines.for_each(|line| drop(line_sender.send(line)));
        });
    }
    log
}

fn write_inventory(folder: &Path, rows: &str) -> io::Result<()> {
    std::fs::write(
        folder.join(INVENTORY_FILE),
        format!("name,address,collections,state\n{rows}"),
    )
}
