//! Log events of the process: level, message and fields of one event of each kind that a test can bring about.

mod standin;

use serde_json::{json, Value};
use standin::client::QueryRequest;
use standin::data_node::{addresses_of, DataNode, NodeBehaviour};
use standin::deployment::Deployment;
use standin::discovery::{all_in_service, endpoint_list, serve_constant_list, ControlledDiscovery};
use standin::feature_server::{inventory_row, FeatureServer};
use standin::http::{accept_on_thread, bind_loopback};
use standin::process::{Process, CLASSES};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// How long a process may take to log an event that a test waits for.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A process that logs JSON; it is killed, and its folder removed, when this is dropped.
struct LoggingProcess {
    child: Child,
    events: Receiver<Value>,
    folder: PathBuf,
}

/// An event as it was logged: its message is `message` among the fields.
#[derive(Debug, PartialEq)]
struct LogEvent {
    level: String,
    fields: Value,
}

impl LoggingProcess {
    /// Starts the front for feature queries with an admin endpoint and these rows of an inventory.
    fn start_edge(test: &str, rows: &str) -> LoggingProcess {
        let folder = create_folder(test);
        write_edge_file(&folder, "mgmt = \"127.0.0.1:0\"");
        write_inventory(&folder, rows);
        let mut command = json_logging_command();
        command
            .arg("--edge")
            .arg(folder.join("edge.toml"))
            .env_remove("NODE_CONFIG")
            .env_remove("TMPDIR");
        LoggingProcess::spawn(command, folder)
    }

    /// Starts the platform's front with this configuration and without a folder for hand-overs.
    fn start_platform(test: &str, configuration: &Value) -> LoggingProcess {
        let folder = create_folder(test);
        let mut command = platform_command(&folder, configuration);
        command.env_remove("TMPDIR");
        LoggingProcess::spawn(command, folder)
    }

    /// Starts the platform's front; it hands over and receives listening sockets in `temporary`.
    fn start_with_hand_over(test: &str, configuration: &Value, temporary: &Path) -> LoggingProcess {
        let folder = create_folder(test);
        let mut command = platform_command(&folder, configuration);
        command.env("TMPDIR", temporary);
        LoggingProcess::spawn(command, folder)
    }

    fn spawn(mut command: Command, folder: PathBuf) -> LoggingProcess {
        let mut child = command
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let stderr = child.stderr.take().expect("piped");
        let (sender, events) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let event = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
                let _ = sender.send(event);
            }
        });
        LoggingProcess {
            child,
            events,
            folder,
        }
    }

    /// The next event with this message.
    fn wait_for(&self, message: &str) -> LogEvent {
        loop {
            let event = self.events.recv_timeout(EVENT_TIMEOUT);
            let event = event.unwrap_or_else(|e| panic!("no event {message:?}: {e}"));
            if event["fields"]["message"] == message {
                let level = event["level"].as_str().expect("a level").to_owned();
                return LogEvent {
                    level,
                    fields: event["fields"].clone(),
                };
            }
        }
    }

    /// Sends a signal by its name without `SIG`.
    fn signal(&self, name: &str) {
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
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl LogEvent {
    /// Asserts the level and all fields beside the message.
    fn assert(&self, level: &str, fields: Value) {
        let mut expected = fields;
        expected["message"] = self.fields["message"].clone();
        assert_eq!((self.level.as_str(), &self.fields), (level, &expected));
    }

    /// Removes a field whose value differs from run to run and returns it.
    fn take_field(&mut self, name: &str) -> String {
        let value = self.fields.as_object_mut().expect("fields").remove(name);
        let value = value.unwrap_or_else(|| panic!("no field {name}: {:?}", self.fields));
        value
            .as_str()
            .unwrap_or_else(|| panic!("{name} is no text: {value}"))
            .to_owned()
    }

    /// Asserts that the field is the address of a listening socket, and removes it.
    fn take_bound_address(&mut self, name: &str) {
        let address: SocketAddr = self.take_field(name).parse().expect("an address");
        assert_ne!(address.port(), 0);
    }

    /// Asserts that the field is a text that contains this, and removes it.
    fn take_field_containing(&mut self, name: &str, text: &str) {
        let value = self.take_field(name);
        assert!(value.contains(text), "{name}: {value}");
    }
}

fn json_logging_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
    command.args(["--log", "json"]);
    command
}

fn platform_command(folder: &Path, configuration: &Value) -> Command {
    let file = folder.join("config.json");
    std::fs::write(&file, configuration.to_string()).expect("a configuration");
    let mut command = json_logging_command();
    for name in ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME", "NODE_MGMT"] {
        command.env_remove(name);
    }
    command.env("NODE_CONFIG", file);
    command
}

fn create_folder(test: &str) -> PathBuf {
    let name = format!("log-events-{test}-{}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A folder with a short path: the path of a Unix socket may have 107 bytes.
fn create_short_folder(test: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("quinceflow-log-{test}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn write_edge_file(folder: &Path, settings: &str) {
    let text = format!("listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\n{settings}\n{CLASSES}");
    std::fs::write(folder.join("edge.toml"), text).expect("an edge file");
}

fn write_inventory(folder: &Path, rows: &str) {
    let text = format!("name,address,collections,state\n{rows}");
    std::fs::write(folder.join("i.csv"), text).expect("an inventory");
}

/// A command that runs another one with so many file descriptors at most.
fn with_descriptors(descriptors: usize, command: &Command) -> Command {
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

/// An address at which nothing listens.
fn refusing_address() -> SocketAddr {
    bind_loopback().local_addr().expect("bound")
}

#[test]
fn an_edge_logs_its_start_reloads_counters_and_shutdown() {
    let server = FeatureServer::healthy(0..6, 2);
    let row = inventory_row("a", &server, "devices");
    let edge = LoggingProcess::start_edge("edge", &row);
    let mut listening = edge.wait_for("listening for client connections");
    listening.take_bound_address("address");
    listening.assert("INFO", json!({"service": "feature queries"}));
    let mut admin = edge.wait_for("admin endpoint listening");
    admin.take_bound_address("address");
    admin.assert("INFO", json!({}));
    let second = FeatureServer::healthy(0..6, 2);
    write_inventory(
        &edge.folder,
        &(row + &inventory_row("b", &second, "devices")),
    );
    edge.signal("HUP");
    edge.wait_for("inventory reloaded")
        .assert("INFO", json!({"servers": 2}));
    write_inventory(&edge.folder, "a,nowhere,devices,\n");
    edge.signal("HUP");
    let mut rejected = edge.wait_for("inventory reload rejected");
    rejected.take_field_containing("error", "i.csv:2: address: ");
    rejected.assert("WARN", json!({}));
    edge.signal("USR1");
    assert_counters(&edge.wait_for("counters"));
    edge.signal("TERM");
    edge.wait_for("graceful shutdown started")
        .assert("INFO", json!({"pending_queries": 0}));
    edge.wait_for("shutdown complete")
        .assert("INFO", json!({"pending_queries": 0}));
    assert_counters(&edge.wait_for("counters"));
}

/// Asserts that each field is a number, and the values after one reload that was applied and one that was rejected.
fn assert_counters(counters: &LogEvent) {
    assert_eq!(counters.level, "INFO");
    let fields = counters.fields.as_object().expect("fields");
    let numbers = fields.iter().filter(|(name, _)| *name != "message");
    assert!(
        numbers.clone().all(|(_, value)| value.is_u64()),
        "{fields:?}"
    );
    let of = |name: &str| fields[name].as_u64().expect("a number");
    assert_eq!(
        (of("reloads"), of("bad_reloads"), of("broken_invariants")),
        (1, 1, 0)
    );
    assert!(numbers.count() > 30, "{fields:?}");
}

#[test]
fn a_coordinator_logs_its_reloads_and_what_is_wrong_with_discovery() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = refusing_address();
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let mut unusable_list = configuration.clone();
    unusable_list["known"] = json!("no list");
    let process = LoggingProcess::start_platform("discovery", &unusable_list);
    let mut rejected_list = process.wait_for("cached endpoint list rejected");
    assert!(!rejected_list.take_field("error").is_empty());
    rejected_list.assert("WARN", json!({}));
    // A SIGHUP before this line may come before the process handles it.
    process.wait_for("admin endpoint listening");
    let mut failed = process.wait_for("discovery watch failed");
    failed.take_field_containing("error", "refused");
    failed.assert("WARN", json!({"revision": 0}));
    process.signal("HUP");
    let classes = json!({"discovery": discovery.to_string(), "classes": "lookup brief send"});
    process
        .wait_for("configuration reloaded")
        .assert("INFO", classes);
    std::fs::write(
        process.folder.join("config.json"),
        "{\"discovery\":\"nowhere\"}",
    )
    .expect("written");
    process.signal("HUP");
    let mut rejected = process.wait_for("configuration reload rejected");
    rejected.take_field_containing("error", "config.json: ");
    rejected.assert("WARN", json!({}));
}

#[test]
fn a_stale_list_and_a_closed_watch_are_logged_with_their_versions() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = ControlledDiscovery::new();
    let configuration = Deployment::BASIC.configuration(discovery.address(), &addresses);
    let process = LoggingProcess::start_platform("stale", &configuration);
    let mut watch = discovery.answer_watch(&endpoint_list(7, true, &all_in_service(&addresses)));
    watch.send(&endpoint_list(6, true, &all_in_service(&addresses)));
    process
        .wait_for("stale endpoint list: only its drains, removals and restarts are applied")
        .assert("WARN", json!({"version": 6, "current_version": 7}));
    watch.stream.shutdown(Shutdown::Write).expect("open");
    process
        .wait_for("discovery watch closed by the server")
        .assert("INFO", json!({"revision": 7}));
}

#[test]
fn unusable_answers_of_data_nodes_are_logged_with_the_nodes_address() {
    // The answer to any call: a frame of five bytes that is no answer.
    let mut open = Vec::new();
    let corrupt = accept_on_thread(move |mut stream| {
        let _ = stream.write_all(b"\0\0\0\x05hello");
        open.push(stream);
    });
    let partial = DataNode::start(|_| NodeBehaviour::PartialResponse);
    for (test, node, message) in [
        (
            "corrupt",
            corrupt,
            "data node connection closed after a protocol error",
        ),
        (
            "partial",
            partial.address,
            "data node connection closed after an incomplete frame",
        ),
    ] {
        let nodes = [node];
        let discovery = serve_constant_list(endpoint_list(1, true, &all_in_service(&nodes)));
        let configuration = Deployment::BASIC.configuration(discovery, &nodes);
        let process = LoggingProcess::start_platform(test, &configuration);
        let mut listening = process.wait_for("listening for client connections");
        let address: SocketAddr = listening.take_field("address").parse().expect("an address");
        let mut client = TcpStream::connect(address).expect("it listens");
        client
            .write_all(QueryRequest::new("q0", "lookup", &[0]).to_http().as_bytes())
            .expect("it reads");
        let mut closed = process.wait_for(message);
        assert_eq!(closed.take_field("address"), node.to_string());
        if test == "corrupt" {
            assert!(!closed.take_field("error").is_empty());
        }
        closed.assert("WARN", json!({}));
    }
}

#[test]
fn both_processes_of_a_hand_over_log_it() {
    let nodes = [DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = serve_constant_list(endpoint_list(1, true, &all_in_service(&addresses)));
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let temporary = create_short_folder("both");
    let predecessor =
        LoggingProcess::start_with_hand_over("predecessor", &configuration, &temporary);
    predecessor.wait_for("listening for client connections");
    let successor = LoggingProcess::start_with_hand_over("successor", &configuration, &temporary);
    successor
        .wait_for("listening sockets received from predecessor")
        .assert("INFO", json!({"service": "n0"}));
    let handed_over = predecessor.wait_for("listening sockets handed over to successor");
    handed_over.assert("INFO", json!({"socket_count": 1}));
    let _ = std::fs::remove_dir_all(&temporary);
}

#[test]
fn failed_hand_overs_are_logged_by_both_sides() {
    let nodes = [DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = serve_constant_list(endpoint_list(1, true, &all_in_service(&addresses)));
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let temporary = create_short_folder("failed");
    let path = temporary.join("quinceflow-127.0.0.1-0.sock");
    let other_program = UnixListener::bind(&path).expect("bound");
    std::thread::spawn(move || {
        // Kept open: closing one with unread input would reset it, and the process might read no version.
        let mut open = Vec::new();
        for mut connection in other_program.incoming().flatten() {
            let _ = connection.write_all(b"another version\n");
            open.push(connection);
        }
    });
    let process = LoggingProcess::start_with_hand_over("other", &configuration, &temporary);
    let mut failed = process.wait_for("socket hand-over from predecessor failed");
    assert_eq!(failed.take_field("path"), path.display().to_string());
    failed.take_field_containing("error", "of another version");
    failed.assert("WARN", json!({}));
    process.wait_for("listening for client connections");
    let mut connection =
        std::os::unix::net::UnixStream::connect(&path).expect("it waits for a successor");
    connection
        .write_all(b"quinceflow hand-over 0\n")
        .expect("it reads");
    let mut failed = process.wait_for("socket hand-over to successor failed");
    failed.take_field_containing("error", "of another version");
    failed.assert("WARN", json!({}));
    let _ = std::fs::remove_dir_all(&temporary);
}

#[test]
fn faults_of_the_start_are_logged_with_their_place() {
    let nodes = [DataNode::serving()];
    let mut configuration =
        Deployment::BASIC.configuration(refusing_address(), &addresses_of(&nodes));
    let in_use = bind_loopback();
    let admin_address = in_use.local_addr().expect("bound").to_string();
    configuration["mgmt"] = json!(admin_address);
    let temporary = create_short_folder("long").join("long-name-".repeat(12));
    std::fs::create_dir_all(&temporary).expect("a folder");
    let process = LoggingProcess::start_with_hand_over("faults", &configuration, &temporary);
    let mut not_offered = process.wait_for("listening sockets cannot be offered to a successor");
    not_offered.take_field_containing("path", "quinceflow-127.0.0.1-0.sock");
    assert!(!not_offered.take_field("error").is_empty());
    not_offered.assert("WARN", json!({}));
    let mut not_started = process.wait_for("admin endpoint not started");
    not_started.take_field_containing("error", &format!("listen on {admin_address}: "));
    not_started.assert("WARN", json!({}));
    let _ = std::fs::remove_dir_all(temporary.parent().expect("its folder"));
    let unusable = LoggingProcess::start_platform("unusable", &json!({"listen": "nowhere"}));
    let mut error = unusable.wait_for("exiting with an error");
    error.take_field_containing("error", "config.json: ");
    error.assert("ERROR", json!({}));
}

#[test]
fn a_client_connection_that_cannot_be_accepted_is_logged_with_its_error() {
    let nodes = [DataNode::serving()];
    let configuration = Deployment::BASIC.configuration(refusing_address(), &addresses_of(&nodes));
    let folder = create_folder("descriptors");
    let mut command = with_descriptors(32, &platform_command(&folder, &configuration));
    command.env_remove("TMPDIR");
    let process = LoggingProcess::spawn(command, folder);
    let mut listening = process.wait_for("listening for client connections");
    let address: SocketAddr = listening.take_field("address").parse().expect("an address");
    let _clients: Vec<_> = (0..64)
        .map(|_| TcpStream::connect(address).expect("in the backlog"))
        .collect();
    let mut failed = process.wait_for("accepting a client connection failed");
    failed.take_field_containing("error", "Too many open files");
    failed.assert("WARN", json!({}));
}

#[test]
fn a_text_line_has_the_level_the_message_and_the_fields() {
    let server = FeatureServer::healthy(0..6, 2);
    let admin = "mgmt = \"127.0.0.1:0\"";
    let edge = Process::start_edge("log-text", admin, &inventory_row("a", &server, "devices"));
    // A SIGHUP before that line may come before the process handles it.
    edge.management_address();
    edge.signal("HUP");
    assert_eq!(
        edge.wait_for_log("inventory"),
        "quinceflow: INFO inventory reloaded servers=1"
    );
    edge.write_inventory("a,nowhere,devices,\n");
    edge.signal("HUP");
    let rejected = edge.wait_for_log("inventory");
    assert!(
        rejected.starts_with("quinceflow: WARN inventory reload rejected error="),
        "{rejected}"
    );
}
