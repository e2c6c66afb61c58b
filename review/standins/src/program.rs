//! The project's program as a separate process, started with the command of the deploy file.

use crate::http_client;
use crate::record::lock;
use std::fs::{self, File};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The time within which the program has to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// All processes and folders of this run, which are removed at its end.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// A running program.
pub struct Program {
    process_id: u32,
}

impl Program {
    /// Starts the program with these arguments and variables; its log goes to `log`.
    pub fn start(
        arguments: &str,
        variables: &[(&str, String)],
        log: &Path,
    ) -> Result<Program, String> {
        let root = repository_root()?;
        let command = format!("{} {arguments}", run_command(&root)?);
        let output = File::create(log).map_err(|e| format!("{}: {e}", log.display()))?;
        let errors = output.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(root)
            .env_remove("NODE_CONFIG")
            .envs(variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|e| e.to_string())?;
        let process_id = child.id();
        lock(&CHILDREN).push(child);
        Ok(Program { process_id })
    }

    /// Waits until the program answers 200 to this path.
    pub fn wait_until_ready(&self, port: u16, path: &str) -> Result<(), String> {
        let started_at = Instant::now();
        while started_at.elapsed() < READY_LIMIT {
            let response = http_client::send(port, &http_client::get(path, ""), READY_LIMIT);
            if response.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the program did not become ready".to_owned())
    }

    /// Sends a signal to the program.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let status = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.process_id))
            .status()
            .map_err(|e| e.to_string())?;
        status
            .success()
            .then_some(())
            .ok_or("no such process".to_owned())
    }
}

/// Ends all processes that this run started, and removes its folders.
pub fn end_all() {
    for child in lock(&CHILDREN).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    for folder in lock(&FOLDERS).drain(..) {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Creates a temporary folder of this run.
pub fn temporary_folder(name: &str) -> Result<PathBuf, String> {
    let unique = format!("review-{}-{name}", std::process::id());
    let folder = std::env::temp_dir().join(unique);
    fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    lock(&FOLDERS).push(folder.clone());
    Ok(folder)
}

/// Returns a loopback port that is free now.
pub fn free_port() -> Result<u16, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    Ok(address.port())
}

fn repository_root() -> Result<PathBuf, String> {
    std::env::var_os("REPOSITORY")
        .map(PathBuf::from)
        .ok_or("REPOSITORY is not set".to_owned())
}

/// Returns `run` of the deploy file.
fn run_command(root: &Path) -> Result<String, String> {
    let file = root.join("deploy/balancer.toml");
    let text = fs::read_to_string(&file).map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command
        .map(str::to_owned)
        .ok_or("the deploy file has no run".to_owned())
}
