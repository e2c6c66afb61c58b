//! The program under test, as a process of its own.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;

/// The program, started with an edge file. It ends when this is dropped.
pub struct EdgeProcess {
    child: Child,
    /// Where it answers clients.
    pub address: SocketAddr,
    folder: PathBuf,
    log: Mutex<Receiver<String>>,
}

/// Classes with long times, for checks, and one whose answers may be partial.
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

/// The program's file: beside this one's own.
pub fn program() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let near = own.ancestors().skip(1).take(2).map(|folder| folder.join("quinceflow"));
    near.into_iter()
        .find(|p| p.is_file())
        .ok_or_else(|| Error::new(ErrorKind::NotFound, "the program is not built: cargo build --workspace"))
}

impl EdgeProcess {
    /// Starts `program` with these settings, rows of an inventory and classes.
    pub fn start(program: &Path, settings: &str, rows: &str, classes: &str) -> Result<EdgeProcess> {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        let number = STARTED.fetch_add(1, Relaxed);
        let folder = std::env::temp_dir().join(format!("quinceflow-testkit-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let text = format!("listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\n{settings}\n{classes}");
        std::fs::write(folder.join("edge.toml"), text)?;
        std::fs::write(folder.join("i.csv"), format!("name,address,collections,state\n{rows}"))?;
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
        let mut edge =
            EdgeProcess { child, address: ([127, 0, 0, 1], 0).into(), folder, log: Mutex::new(log) };
        let line = edge.wait_for("listens on")?;
        edge.address = line
            .rsplit(' ')
            .next()
            .and_then(|a| a.parse().ok())
            .ok_or_else(|| Error::new(ErrorKind::InvalidData, line))?;
        Ok(edge)
    }

    /// The next line of its log that holds this.
    pub fn wait_for(&self, what: &str) -> Result<String> {
        let log = self.log.lock().unwrap_or_else(|e| e.into_inner());
        loop {
            match log.recv() {
                Ok(line) if line.contains(what) => return Ok(line),
                Ok(_) => {}
                Err(_) => {
                    return Err(Error::new(ErrorKind::UnexpectedEof, format!("it ended before {what:?}")))
                }
            }
        }
    }

    /// Replaces the inventory and has it read.
    pub fn inventory(&self, rows: &str) -> Result<()> {
        std::fs::write(self.folder.join("i.csv"), format!("name,address,collections,state\n{rows}"))?;
        self.signal("HUP")?;
        self.wait_for("the inventory ").map(drop)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> Result<()> {
        Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status().map(drop)
    }

    /// A figure of its memory, in KiB, by its name in the kernel's status page: `VmRSS`, `VmHWM`.
    pub fn memory(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|l| l.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Its counters, as it prints them when asked.
    pub fn counters(&self) -> Result<String> {
        self.signal("USR1")?;
        self.wait_for("counters")
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
