//! The process under test: its start, log, signals and configuration.

use super::client::Response;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time within which a counter must reach the value that a test waits for.
const COUNTER_TIMEOUT: Duration = Duration::from_secs(20);
/// The time within which a log line that a test waits for must be written.
const LOG_TIMEOUT: Duration = Duration::from_secs(60);
/// The time within which the process must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The time within which the process must exit when a test waits for that.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The time within which all threads of the process must stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which a test that waits checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The file of the configuration, which the process reloads at SIGHUP.
const CONFIGURATION_FILE: &str = "config.json";
/// The file that keeps the configuration of the start, which tests change.
const INITIAL_CONFIGURATION_FILE: &str = "start.json";

/// The classes of the feature front.
pub const FEATURE_CLASSES: &str = r#"
[[class]]
name = "exact"
aim_ms = 20000
deadline_ms = 30000
[[class]]
name = "brief"
aim_ms = 400
deadline_ms = 800
[[class]]
name = "part"
aim_ms = 400
deadline_ms = 800
floor = 0.5
[[class]]
name = "once"
aim_ms = 20000
deadline_ms = 30000
effect = "unsafe"
"#;

/// A process under test. Dropping it kills the process and removes its directory.
pub struct Process {
    child: Child,
    /// The address at which the process listens for clients.
    pub address: SocketAddr,
    /// The directory of the process's files. A successor has one inside that of its predecessor.
    directory: PathBuf,
    /// The lines of the log that were not yet read by [`Process::wait_for_log`].
    log: Mutex<Receiver<String>>,
    /// The lines of the log that were read by [`Process::wait_for_log`].
    read_lines: Mutex<Vec<String>>,
    /// The thread that receives the log until the process closes it.
    log_reader: Option<JoinHandle<()>>,
    /// The address of the admin endpoint, once it was read from the log.
    admin_address: Mutex<Option<SocketAddr>>,
}

impl Process {
    /// Starts the feature front with additional settings and the rows of an inventory.
    pub fn start_feature_front(test_name: &str, settings: &str, rows: &str) -> Process {
        let directory = create_directory(test_name);
        let text = format!(
            "listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\n{settings}\n{FEATURE_CLASSES}"
        );
        std::fs::write(directory.join("edge.toml"), text).expect("the settings are written");
        write_inventory(&directory, rows);
        let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
        command
            .arg("--edge")
            .arg(directory.join("edge.toml"))
            .env_remove("NODE_CONFIG")
            .env_remove("TMPDIR");
        Process::spawn(command, directory)
    }

    /// Starts the platform front with this configuration and limit of open file descriptors.
    pub fn start_platform_front(
        test_name: &str,
        configuration: &Value,
        descriptor_limit: usize,
    ) -> Process {
        Process::start_platform_front_in(test_name, configuration, descriptor_limit, None)
    }

    /// Starts the platform front. `temporary_directory`, if given, has the socket for a hand-over.
    pub fn start_platform_front_in(
        test_name: &str,
        configuration: &Value,
        descriptor_limit: usize,
        temporary_directory: Option<&Path>,
    ) -> Process {
        let directory = create_directory(test_name);
        for file in [CONFIGURATION_FILE, INITIAL_CONFIGURATION_FILE] {
            std::fs::write(directory.join(file), configuration.to_string())
                .expect("the configuration is written");
        }
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {descriptor_limit}; exec \"$0\""))
            .arg(env!("CARGO_BIN_EXE_quinceflow"));
        for name in [
            "NODE_LISTEN",
            "NODE_DISCOVERY",
            "NODE_NAME",
            "NODE_MGMT",
            "TMPDIR",
        ] {
            command.env_remove(name);
        }
        command.env("NODE_CONFIG", directory.join(CONFIGURATION_FILE));
        if let Some(temporary_directory) = temporary_directory {
            command.env("TMPDIR", temporary_directory);
        }
        Process::spawn(command, directory)
    }

    /// Starts a successor of this process with the same configuration. `temporary_directory` must
    /// be that of this process.
    pub fn start_successor(&self, temporary_directory: &Path) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
        let first_directory = self
            .directory
            .ancestors()
            .find(|directory| directory.join(CONFIGURATION_FILE).exists())
            .expect("the directory of the first process has the configuration");
        command
            .env("NODE_CONFIG", first_directory.join(CONFIGURATION_FILE))
            .env("TMPDIR", temporary_directory);
        Process::spawn(command, self.directory.join("next"))
    }

    /// Starts the process and waits until it listens for clients.
    fn spawn(mut command: Command, directory: PathBuf) -> Process {
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let (lines, log) = channel();
        let stderr = child.stderr.take().expect("the standard error is piped");
        let log_reader = std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines() {
                // The receiver may have been dropped.
                let _ = lines.send(line.expect("the log is text"));
            }
        });
        let address = ([127, 0, 0, 1], 0).into();
        let admin_address = Mutex::default();
        let mut process = Process {
            child,
            address,
            directory,
            log: Mutex::new(log),
            read_lines: Mutex::default(),
            log_reader: Some(log_reader),
            admin_address,
        };
        process.address = last_address(&process.wait_for_log("listening for client connections"));
        process
    }

    /// Returns the address of the admin endpoint, which is read from the log.
    pub fn admin_address(&self) -> SocketAddr {
        let mut address = self
            .admin_address
            .lock()
            .expect("the mutex is not poisoned");
        *address.get_or_insert_with(|| last_address(&self.wait_for_log("admin endpoint listening")))
    }

    /// Waits for the next log line that contains this text and returns it. Panics with the log so
    /// far if there is none within [`LOG_TIMEOUT`].
    pub fn wait_for_log(&self, text: &str) -> String {
        let started = Instant::now();
        let log = self.log.lock().expect("the mutex is not poisoned");
        let mut read_lines = self.read_lines.lock().expect("the mutex is not poisoned");
        loop {
            let remaining = LOG_TIMEOUT.saturating_sub(started.elapsed());
            let line = log.recv_timeout(remaining).unwrap_or_else(|error| {
                panic!(
                    "no log line with {text:?} ({error}) after:\n{}",
                    read_lines.join("\n")
                )
            });
            read_lines.push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Sends SIGUSR1 and returns the log line with the counters.
    pub fn log_counters(&self) -> String {
        self.signal("USR1");
        self.wait_for_log("counters")
    }

    /// Waits until a counter has reached this value.
    pub fn wait_for_counter(&self, counter: &str, value: u64) {
        let started = Instant::now();
        loop {
            let line = self.log_counters();
            let current = line.split(' ').find_map(|word| {
                let value = word.strip_prefix(counter)?.strip_prefix('=')?;
                value.parse::<u64>().ok()
            });
            if current.expect("the log line has the counter") >= value {
                return;
            }
            assert!(
                started.elapsed() < COUNTER_TIMEOUT,
                "{counter} did not reach {value} in time: {line}"
            );
            std::thread::yield_now();
        }
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while self.get("/up").status != 200 {
            assert!(
                started.elapsed() < START_TIMEOUT,
                "the process was not ready in time"
            );
        }
    }

    /// Returns the configuration of the start with the value at this JSON pointer replaced.
    pub fn configuration_with(&self, pointer: &str, value: Value) -> String {
        let text = std::fs::read(self.directory.join(INITIAL_CONFIGURATION_FILE))
            .expect("the configuration is read");
        let mut configuration: Value =
            serde_json::from_slice(&text).expect("the configuration is JSON");
        *configuration
            .pointer_mut(pointer)
            .expect("the configuration has the value") = value;
        configuration.to_string()
    }

    /// Replaces the configuration. The process reloads it at SIGHUP.
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(self.directory.join(CONFIGURATION_FILE), text)
            .expect("the configuration is written");
    }

    /// Replaces the inventory. The process reloads it at SIGHUP.
    pub fn write_inventory(&self, rows: &str) {
        write_inventory(&self.directory, rows);
    }

    /// Replaces the inventory, sends SIGHUP and waits until the process has applied it.
    pub fn reload_inventory(&self, rows: &str) {
        self.write_inventory(rows);
        self.signal("HUP");
        self.wait_for_log("inventory reloaded");
    }

    /// Sends the signal with this name, which is given without `SIG`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(status.expect("the command kill runs").success());
    }

    /// Stops the process and waits until all of its threads have stopped, which the signal alone does
    /// not guarantee.
    pub fn stop(&self) {
        self.signal("STOP");
        let started = Instant::now();
        while !self.has_stopped() {
            assert!(
                started.elapsed() < STOP_TIMEOUT,
                "the process did not stop in time"
            );
            std::thread::yield_now();
        }
    }

    /// Returns whether all threads of the process have stopped.
    fn has_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let threads = threads.expect("the process runs");
        threads.flatten().all(|thread| {
            let status = std::fs::read_to_string(thread.path().join("status"));
            let status = status.unwrap_or_default();
            status.lines().any(|line| line.starts_with("State:\tT"))
        })
    }

    /// Sends the signal with this name, which is given without `SIG`, to a process that may have
    /// exited.
    pub fn signal_if_alive(&self, name: &str) {
        // Sending a signal to an exited process succeeds until the process is waited for.
        self.signal(name);
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited with success, or `None` if it is still running.
    pub fn has_succeeded(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("the process is a child");
        status.map(|status| status.success())
    }

    /// Returns all lines of the log. The process must have exited.
    pub fn finish_log(&mut self) -> Vec<String> {
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("the log is read to its end");
        }
        let mut lines =
            std::mem::take(&mut *self.read_lines.lock().expect("the mutex is not poisoned"));
        lines.extend(
            self.log
                .lock()
                .expect("the mutex is not poisoned")
                .try_iter(),
        );
        lines
    }

    /// Sends a GET request on a new connection and returns the response.
    pub fn get(&self, target: &str) -> Response {
        self.get_with_headers(target, "")
    }

    /// Sends a GET request with additional header lines, each of which ends with CR LF, on a new
    /// connection and returns the response.
    pub fn get_with_headers(&self, target: &str, headers: &str) -> Response {
        self.send_request(&format!(
            "GET {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n{headers}\r\n",
            self.address
        ))
    }

    /// Sends the text of a request on a new connection and returns the response, which must close
    /// the connection.
    pub fn send_request(&self, request: &str) -> Response {
        let mut stream = TcpStream::connect(self.address).expect("the process accepts connections");
        stream
            .write_all(request.as_bytes())
            .expect("the request is sent");
        let mut text = Vec::new();
        stream
            .read_to_end(&mut text)
            .expect("the response is read to its end");
        Response::parse(&String::from_utf8(text).expect("the response is text"))
    }

    /// Waits until the process has exited and returns whether it did so with success.
    pub fn wait_for_exit(&mut self) -> bool {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.success();
            }
            assert!(
                started.elapsed() < EXIT_TIMEOUT,
                "the process did not exit in time"
            );
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
        let log_reader = self.log_reader.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            assert!(
                matches!(log_reader, None | Some(Ok(()))),
                "the log was not read to its end"
            );
        }
    }
}

/// Creates a directory for a process. The names of directories are unique, even if two tests have
/// the same name.
fn create_directory(test_name: &str) -> PathBuf {
    static DIRECTORIES: AtomicUsize = AtomicUsize::new(0);
    let number = DIRECTORIES.fetch_add(1, Relaxed);
    let name = format!("{test_name}-{}-{number}", std::process::id());
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

/// Returns the address in the last field of a log line, `address`.
fn last_address(line: &str) -> SocketAddr {
    line.rsplit(' ')
        .next()
        .and_then(|word| word.strip_prefix("address=")?.parse().ok())
        .expect("the line has an address")
}

/// Writes the inventory with these rows to the directory of a process.
fn write_inventory(directory: &Path, rows: &str) {
    let text = format!("name,address,collections,state\n{rows}");
    std::fs::write(directory.join("i.csv"), text).expect("the inventory is written");
}
