//! The program under review: started by the `run` command of the deploy file, signalled, ended.

use super::http;
use super::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The processes that were started and have not ended, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A started process of the program. Dropping it ends the process.
pub struct Program {
    name: String,
    child: Child,
    record: Record,
    /// The address at which it serves clients.
    pub address: SocketAddr,
}

/// Returns a loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("the address of the port")
}

/// Returns the `run` command of the deploy file.
fn run_command() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| e.to_string())?;
    text.lines()
        .find_map(|line| line.strip_prefix("run = \"")?.split('"').next())
        .map(str::to_owned)
        .ok_or_else(|| "deploy/balancer.toml has no run command".to_owned())
}

impl Program {
    /// Starts the front for feature queries with an edge file.
    pub fn start_edge(
        record: &Record,
        directory: &Path,
        edge_file: &Path,
        address: SocketAddr,
    ) -> Result<Self, String> {
        let arguments = format!(" --edge {}", edge_file.display());
        Self::start(record, "edge", directory, &arguments, &[], address)
    }

    /// Starts a coordinator of the platform with a configuration file.
    pub fn start_platform(
        record: &Record,
        name: &str,
        directory: &Path,
        config_file: &Path,
        address: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<Self, String> {
        let variables = [
            ("NODE_NAME", name.to_owned()),
            ("NODE_LISTEN", address.to_string()),
            ("NODE_DISCOVERY", discovery.to_string()),
            ("NODE_CONFIG", config_file.display().to_string()),
        ];
        Self::start(record, name, directory, "", &variables, address)
    }

    fn start(
        record: &Record,
        name: &str,
        directory: &Path,
        arguments: &str,
        variables: &[(&str, String)],
        address: SocketAddr,
    ) -> Result<Self, String> {
        let private: PathBuf = directory.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&private).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(directory.join(format!("{name}.log")))
            .map_err(|e| e.to_string())?;
        let log_too = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(format!("{}{arguments}", run_command()?))
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_too);
        for variable in [
            "NODE_NAME",
            "NODE_LISTEN",
            "NODE_DISCOVERY",
            "NODE_CONFIG",
            "NODE_MGMT",
        ] {
            command.env_remove(variable);
        }
        for (key, value) in variables {
            command.env(key, value);
        }
        let child = command.spawn().map_err(|e| e.to_string())?;
        STARTED.lock().unwrap().push(child.id());
        record.note(format!("{name}: started at {address}"));
        Ok(Program {
            name: name.to_owned(),
            child,
            record: record.clone(),
            address,
        })
    }

    /// Waits until `GET /up` answers 200.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(20) {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("{} ended at the start: {status}", self.name));
            }
            if http::get(self.address, "/up", "", Duration::from_secs(1))
                .is_ok_and(|r| r.status == 200)
            {
                self.record.note(format!("{}: ready", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready after 20 s", self.name))
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Sends the process a signal, such as `HUP`.
    pub fn signal(&self, signal: &str) -> f64 {
        send_signal(self.child.id(), signal);
        self.record.note(format!("{}: SIG{signal} sent", self.name))
    }

    /// Copies the process's log to the record.
    pub fn note_log(&self, directory: &Path) {
        let log = directory.join(format!("{}.log", self.name));
        for line in std::fs::read_to_string(log).unwrap_or_default().lines() {
            if !line.contains("counter") {
                self.record.note(format!("{}: log: {line}", self.name));
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if matches!(self.child.try_wait(), Ok(None)) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

fn send_signal(process: u32, signal: &str) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{signal} {process}"))
        .status();
}

/// Ends the started processes that are still running.
pub fn end_all() {
    for process in STARTED.lock().unwrap().iter() {
        send_signal(*process, "KILL");
    }
}
