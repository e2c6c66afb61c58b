//! A process that logs JSON, and the events that it logs.

use crate::standin::http::bind_loopback;
use crate::standin::process::FEATURE_CLASSES;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread::JoinHandle;
use std::time::Duration;

/// The time in which a process must log an event that a test waits for.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that logs JSON. Dropping it kills the process and removes its directory.
pub struct LoggingProcess {
    pub child: Child,
    pub events: Receiver<Value>,
    pub directory: PathBuf,
    /// The thread that reads the log to its end.
    reader: Option<JoinHandle<()>>,
}

impl LoggingProcess {
    /// Starts the feature front with an admin endpoint and these rows of an inventory.
    pub fn start_feature_front(test: &str, rows: &str) -> LoggingProcess {
        let directory = create_directory(test);
        write_edge_file(&directory, "mgmt = \"127.0.0.1:0\"");
        write_inventory(&directory, rows);
        let mut command = json_logging_command();
        command
            .arg("--edge")
            .arg(directory.join("edge.toml"))
            .env_remove("NODE_CONFIG")
            .env_remove("TMPDIR");
        LoggingProcess::spawn(command, directory)
    }

    /// Starts the platform front with this configuration and without a directory for hand-overs.
    pub fn start_platform_front(test: &str, configuration: &Value) -> LoggingProcess {
        let directory = create_directory(test);
        let mut command = platform_command(&directory, configuration);
        command.env_remove("TMPDIR");
        LoggingProcess::spawn(command, directory)
    }

    /// Starts the platform front; it hands over and receives listening sockets in `temporary`.
    pub fn start_with_hand_over(
        test: &str,
        configuration: &Value,
        temporary: &Path,
    ) -> LoggingProcess {
        let directory = create_directory(test);
        let mut command = platform_command(&directory, configuration);
        command.env("TMPDIR", temporary);
        LoggingProcess::spawn(command, directory)
    }

    /// Starts a command that logs JSON, and reads its log on a thread; `directory` is removed at
    /// the end.
    pub fn spawn(mut command: Command, directory: PathBuf) -> LoggingProcess {
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stderr = child.stderr.take().expect("the standard error is piped");
        let (sender, events) = channel();
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let event = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
                let _ = sender.send(event);
            }
        });
        LoggingProcess {
            child,
            events,
            directory,
            reader: Some(reader),
        }
    }

    /// Waits for the next event with this message and returns it.
    pub fn wait_for(&self, message: &str) -> LogEvent {
        loop {
            let event = self.events.recv_timeout(EVENT_TIMEOUT);
            let event = event.unwrap_or_else(|e| panic!("no event {message:?}: {e}"));
            if event["fields"]["message"] == message {
                let level = event["level"]
                    .as_str()
                    .expect("the level is a string")
                    .to_owned();
                return LogEvent {
                    level,
                    fields: event["fields"].clone(),
                };
            }
        }
    }

    /// Returns the fields of the events up to the one that has this message for the `times`-th time.
    pub fn collect_until(&self, message: &str, times: usize) -> Vec<Value> {
        let mut collected: Vec<Value> = Vec::new();
        let is_awaited = |fields: &&Value| fields["message"] == message;
        while collected.iter().filter(is_awaited).count() < times {
            let event = self.events.recv_timeout(EVENT_TIMEOUT);
            let mut event = event.unwrap_or_else(|e| panic!("no event {message:?}: {e}"));
            collected.push(event["fields"].take());
        }
        collected
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for LoggingProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
        let reader = self.reader.take().map(JoinHandle::join);
        if !std::thread::panicking() {
            assert!(
                matches!(reader, None | Some(Ok(()))),
                "a log line is not a JSON event"
            );
        }
    }
}

/// An event as it was logged. Its message is the field `message`.
#[derive(Debug, PartialEq)]
pub struct LogEvent {
    pub level: String,
    pub fields: Value,
}

impl LogEvent {
    /// Asserts the level and all fields other than the message.
    pub fn assert(&self, level: &str, fields: Value) {
        let mut expected = fields;
        expected["message"] = self.fields["message"].clone();
        assert_eq!((self.level.as_str(), &self.fields), (level, &expected));
    }

    /// Removes a field whose value differs from run to run and returns it.
    pub fn take_field(&mut self, name: &str) -> String {
        let value = self
            .fields
            .as_object_mut()
            .expect("the event has fields")
            .remove(name);
        let value = value.unwrap_or_else(|| panic!("no field {name}: {:?}", self.fields));
        value
            .as_str()
            .unwrap_or_else(|| panic!("{name} is not a text: {value}"))
            .to_owned()
    }

    /// Asserts that the field is the address of a listening socket, and removes it.
    pub fn take_bound_address(&mut self, name: &str) {
        let address: SocketAddr = self
            .take_field(name)
            .parse()
            .expect("the field is an address");
        assert_ne!(address.port(), 0);
    }

    /// Asserts that the field is a text that contains `text`, and removes it.
    pub fn take_field_containing(&mut self, name: &str, text: &str) {
        let value = self.take_field(name);
        assert!(value.contains(text), "{name}: {value}");
    }
}

/// Returns a command that starts the program with a log of JSON lines.
pub fn json_logging_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
    command.args(["--log", "json"]);
    command
}

/// Writes a configuration and returns a command that starts the platform front with it.
pub fn platform_command(directory: &Path, configuration: &Value) -> Command {
    let file = directory.join("config.json");
    std::fs::write(&file, configuration.to_string()).expect("the configuration is written");
    let mut command = json_logging_command();
    for name in ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME", "NODE_MGMT"] {
        command.env_remove(name);
    }
    command.env("NODE_CONFIG", file);
    command
}

/// Creates a directory for a test.
pub fn create_directory(test: &str) -> PathBuf {
    let name = format!("log-events-{test}-{}", std::process::id());
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

/// Creates a directory with a short path, since the path of a Unix socket has at most 107 bytes.
pub fn create_short_directory(test: &str) -> PathBuf {
    let directory =
        std::env::temp_dir().join(format!("quinceflow-log-{test}-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}

/// Writes the settings of the feature front.
pub fn write_edge_file(directory: &Path, settings: &str) {
    let text =
        format!("listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\n{settings}\n{FEATURE_CLASSES}");
    std::fs::write(directory.join("edge.toml"), text).expect("the edge file is written");
}

/// Writes an inventory with these rows.
pub fn write_inventory(directory: &Path, rows: &str) {
    let text = format!("name,address,collections,state\n{rows}");
    std::fs::write(directory.join("i.csv"), text).expect("the inventory is written");
}

/// Returns a command that runs `command` with at most this many file descriptors.
pub fn with_descriptors(descriptors: usize, command: &Command) -> Command {
    let mut shell = Command::new("sh");
    shell
        .arg("-c")
        .arg(format!("ulimit -n {descriptors}; exec \"$0\" \"$@\""));
    shell.arg(command.get_program()).args(command.get_args());
    for (name, value) in command.get_envs() {
        match value {
            Some(value) => shell.env(name, value),
            None => shell.env_remove(name),
        };
    }
    shell
}

/// Returns an address that refuses connections.
pub fn refusing_address() -> SocketAddr {
    bind_loopback().local_addr().expect("the listener is bound")
}
