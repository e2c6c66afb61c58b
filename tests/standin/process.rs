//! The process under test: owns its start, its log, its signals and its configuration.

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

/// The time in which a counter must reach the value that a test waits for.
const COUNTER_TIMEOUT: Duration = Duration::from_secs(20);
/// The time in which a log line that a test waits for must come.
const LOG_TIMEOUT: Duration = Duration::from_secs(60);
/// The time in which the process must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The time in which the process must exit once a test waits for that.
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The pause between two checks whether the process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The configuration that the process reads again at SIGHUP.
const CONFIGURATION: &str = "config.json";
/// The configuration as it was at the start.
const START_CONFIGURATION: &str = "start.json";

/// The classes of the front for feature queries.
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

/// A running process. Dropping it kills the process and removes its folder.
pub struct Process {
    child: Child,
    /// The address for clients.
    pub address: SocketAddr,
    /// The folder of the configuration.
    folder: PathBuf,
    /// The lines of the log that no test has waited for yet.
    log: Mutex<Receiver<String>>,
    /// The lines of the log that a test has waited for or passed over.
    read_lines: Mutex<Vec<String>>,
    /// The thread that reads the log to its end.
    log_reader: Option<JoinHandle<()>>,
    /// The address of the admin endpoint, once it was read from the log.
    admin_address: Mutex<Option<SocketAddr>>,
}

impl Process {
    /// Starts the front for feature queries with further settings and the rows of an inventory.
    pub fn start_feature_front(test_name: &str, settings: &str, rows: &str) -> Process {
        let folder = create_folder(test_name);
        let text = format!(
            "listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\n{settings}\n{FEATURE_CLASSES}"
        );
        std::fs::write(folder.join("edge.toml"), text).expect("settings");
        write_inventory(&folder, rows);
        let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
        command
            .arg("--edge")
            .arg(folder.join("edge.toml"))
            .env_remove("NODE_CONFIG")
            .env_remove("TMPDIR");
        Process::spawn(command, folder)
    }

    /// Starts the platform's front with its configuration and a limit of file descriptors.
    pub fn start_platform_front(
        test_name: &str,
        configuration: &Value,
        descriptor_limit: usize,
    ) -> Process {
        Process::start_platform_front_in(test_name, configuration, descriptor_limit, None)
    }

    /// Starts the platform's front; it hands its sockets over in `temporary`, if that is given.
    pub fn start_platform_front_in(
        test_name: &str,
        configuration: &Value,
        descriptor_limit: usize,
        temporary: Option<&Path>,
    ) -> Process {
        let folder = create_folder(test_name);
        for file in [CONFIGURATION, START_CONFIGURATION] {
            std::fs::write(folder.join(file), configuration.to_string()).expect("a configuration");
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
        command.env("NODE_CONFIG", folder.join(CONFIGURATION));
        if let Some(temporary) = temporary {
            command.env("TMPDIR", temporary);
        }
        Process::spawn(command, folder)
    }

    /// Starts a successor of this process with the same configuration. Both use this folder for
    /// temporary files.
    pub fn start_successor(&self, temporary: &Path) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
        let start = self
            .folder
            .ancestors()
            .find(|f| f.join(CONFIGURATION).exists())
            .expect("its start");
        command
            .env("NODE_CONFIG", start.join(CONFIGURATION))
            .env("TMPDIR", temporary);
        Process::spawn(command, self.folder.join("next"))
    }

    fn spawn(mut command: Command, folder: PathBuf) -> Process {
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (lines, log) = channel();
        let errors = child.stderr.take().expect("piped");
        let log_reader = std::thread::spawn(move || {
            for line in BufReader::new(errors).lines() {
                // The test may have ended its wait for further lines.
                let _ = lines.send(line.expect("a line of text"));
            }
        });
        let address = ([127, 0, 0, 1], 0).into();
        let admin_address = Mutex::default();
        let mut process = Process {
            child,
            address,
            folder,
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
        let mut known = self
            .admin_address
            .lock()
            .expect("the mutex is not poisoned");
        *known.get_or_insert_with(|| last_address(&self.wait_for_log("admin endpoint listening")))
    }

    /// Waits for the next log line that contains this text and returns it. Fails with the log so
    /// far if it does not come in time.
    pub fn wait_for_log(&self, text: &str) -> String {
        let started = Instant::now();
        let log = self.log.lock().expect("log");
        let mut read_lines = self.read_lines.lock().expect("lines");
        loop {
            let left = LOG_TIMEOUT.saturating_sub(started.elapsed());
            let line = log.recv_timeout(left).unwrap_or_else(|error| {
                panic!(
                    "no line with {text:?} ({error}) after:\n{}",
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

    /// Waits until a counter has at least this value.
    pub fn wait_for_counter(&self, counter: &str, value: u64) {
        let started = Instant::now();
        loop {
            let line = self.log_counters();
            let current = line.split(' ').find_map(|word| {
                let value = word.strip_prefix(counter)?.strip_prefix('=')?;
                value.parse::<u64>().ok()
            });
            if current.expect("such a counter") >= value {
                return;
            }
            assert!(
                started.elapsed() < COUNTER_TIMEOUT,
                "{counter} never reaches {value}: {line}"
            );
            std::thread::yield_now();
        }
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while self.get("/up").status != 200 {
            assert!(started.elapsed() < START_TIMEOUT, "it is never ready");
        }
    }

    /// Returns the configuration of the start with another value at this JSON pointer.
    pub fn configuration_with(&self, pointer: &str, value: Value) -> String {
        let text = std::fs::read(self.folder.join(START_CONFIGURATION)).expect("a configuration");
        let mut configuration: Value = serde_json::from_slice(&text).expect("JSON");
        *configuration.pointer_mut(pointer).expect("such a place") = value;
        configuration.to_string()
    }

    /// Replaces the configuration; the process reads it again at SIGHUP.
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(self.folder.join(CONFIGURATION), text).expect("a configuration");
    }

    /// Replaces the inventory; the process reads it again at SIGHUP.
    pub fn write_inventory(&self, rows: &str) {
        write_inventory(&self.folder, rows);
    }

    /// Replaces the inventory, sends SIGHUP and waits until the process has applied it.
    pub fn reload_inventory(&self, rows: &str) {
        self.write_inventory(rows);
        self.signal("HUP");
        self.wait_for_log("inventory reloaded");
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Sends a signal by its name without `SIG`, if the process has not exited.
    pub fn signal_if_alive(&self, name: &str) {
        // A process that has exited and is not waited for can still be signalled.
        self.signal(name);
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited with success; `None` if it still runs.
    pub fn exit_status(&mut self) -> Option<bool> {
        let status = self.child.try_wait().expect("it is a child");
        status.map(|status| status.success())
    }

    /// Returns all lines of the log of a process that has exited.
    pub fn finish_log(&mut self) -> Vec<String> {
        if let Some(reader) = self.log_reader.take() {
            reader.join().expect("its log can be read");
        }
        let mut lines = std::mem::take(&mut *self.read_lines.lock().expect("lines"));
        lines.extend(self.log.lock().expect("log").try_iter());
        lines
    }

    /// Sends a GET request on a connection of its own.
    pub fn get(&self, target: &str) -> Response {
        self.get_with_headers(target, "")
    }

    /// Sends a GET request with further header lines, each ended by CR LF.
    pub fn get_with_headers(&self, target: &str, headers: &str) -> Response {
        self.send_request(&format!(
            "GET {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n{headers}\r\n",
            self.address
        ))
    }

    /// Sends these bytes on a connection of its own and reads to its end.
    pub fn send_request(&self, request: &str) -> Response {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.write_all(request.as_bytes()).expect("it reads");
        let mut text = Vec::new();
        stream.read_to_end(&mut text).expect("it answers");
        Response::parse(&String::from_utf8(text).expect("text"))
    }

    /// Waits until the process has exited and returns whether it did so with success.
    pub fn wait_for_exit(&mut self) -> bool {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("it is a child") {
                return status.success();
            }
            assert!(started.elapsed() < EXIT_TIMEOUT, "it never exits");
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
        let log_reader = self.log_reader.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            assert!(
                matches!(log_reader, None | Some(Ok(()))),
                "its log cannot be read"
            );
        }
    }
}

/// Creates a folder of its own for a process, also where two tests have the same name.
fn create_folder(test_name: &str) -> PathBuf {
    static FOLDERS: AtomicUsize = AtomicUsize::new(0);
    let number = FOLDERS.fetch_add(1, Relaxed);
    let name = format!("{test_name}-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Returns the address in the last field of a log line.
fn last_address(line: &str) -> SocketAddr {
    line.rsplit(' ')
        .next()
        .and_then(|word| word.strip_prefix("address=")?.parse().ok())
        .expect("an address")
}

fn write_inventory(folder: &Path, rows: &str) {
    let text = format!("name,address,collections,state\n{rows}");
    std::fs::write(folder.join("i.csv"), text).expect("an inventory");
}
