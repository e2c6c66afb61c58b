//! A run of a script: starts the process, its servers and its clients, and ends the processes as
//! the script says.

use crate::backend::{inventory, start_backend, Backend, SERVERS};
use crate::clients::{ClientContext, StopClientsOnDrop};
use crate::delay::DelayMeter;
use crate::history::{DrainRecord, History, ProcessRecord};
use crate::probe::{is_ready, sample_resources, signal_after, unix_ms, unused_address};
use crate::script::{Ending, FrontKind, Script};
use crate::servers::ServerContext;
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{changed_endpoints, in_service, terminating, ListedEndpoint};
use crate::standin::process::Process;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The latency objective of the platform's classes; their deadline is twice that.
const LATENCY_OBJECTIVE_MS: u64 = 800;
/// The longest deadline that the platform waits for before it kills a process. Classes of the
/// feature front have longer deadlines.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The time from the longest deadline to the earliest SIGKILL.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The descriptor limit of a process whose descriptors idle connections exhaust.
const LOW_DESCRIPTOR_LIMIT: usize = 128;
/// The number of idle connections to such a process.
const IDLE_CONNECTIONS: usize = 200;
/// The interval of readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The interval at which a run checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The time within which a process must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A run in progress.
struct Run<'a> {
    script: &'a Script,
    rng: fastrand::Rng,
    start: Instant,
    backend: Backend,
    /// The directory for the sockets of hand-overs.
    temporary_directory: PathBuf,
    clients: Arc<ClientContext>,
    meter: DelayMeter,
    /// The processes that have exited. They are kept since successors use their directories.
    ended: Mutex<Vec<Process>>,
    drains: Vec<DrainRecord>,
    /// The revision of the last endpoint list.
    revision: u64,
}

/// A process with its record.
struct RecordedProcess {
    process: Process,
    record: ProcessRecord,
}

/// Runs a script and returns the recorded history.
pub fn run_script(script: &Script) -> History {
    let start = Instant::now();
    let meter = DelayMeter::start(start);
    let servers = ServerContext {
        start,
        attempts: Arc::default(),
        faults_enabled: Arc::new(script.server_faults.into()),
        seed: script.seed,
    };
    let backend = start_backend(script, &servers);
    let temporary_directory = std::env::temp_dir().join(format!("qf-soak-{}", std::process::id()));
    std::fs::create_dir_all(&temporary_directory).expect("the directory is created");
    let clients = Arc::new(ClientContext {
        front: script.front,
        start,
        address: Mutex::new(([127, 0, 0, 1], 0).into()),
        connects_until: Mutex::default(),
        stop: false.into(),
        next_number: 1.into(),
        requests: Mutex::default(),
        refused_connects: Mutex::default(),
    });
    let mut run = Run {
        script,
        rng: fastrand::Rng::with_seed(script.seed ^ 0x50a4),
        start,
        backend,
        temporary_directory,
        clients,
        meter,
        ended: Mutex::default(),
        drains: Vec::new(),
        revision: 1,
    };
    let processes = run.execute();
    let Run {
        clients,
        meter,
        drains,
        temporary_directory,
        ..
    } = run;
    let _ = std::fs::remove_dir_all(&temporary_directory);
    let requests =
        std::mem::take(&mut *clients.requests.lock().expect("the mutex is not poisoned"));
    let refused_connects = std::mem::take(
        &mut *clients
            .refused_connects
            .lock()
            .expect("the mutex is not poisoned"),
    );
    let attempts =
        std::mem::take(&mut *servers.attempts.lock().expect("the mutex is not poisoned"));
    History {
        requests,
        attempts,
        drains,
        processes,
        refused_connects,
        delays: meter.finish(),
    }
}

impl Run<'_> {
    /// Runs the script and returns the records of its processes.
    fn execute(&mut self) -> Vec<ProcessRecord> {
        let first = self.start_process();
        *self
            .clients
            .address
            .lock()
            .expect("the mutex is not poisoned") = first.process.address;
        let clients = self.clients.clone();
        let idle_connections: Vec<TcpStream> = if self.script.exhausts_descriptors {
            (0..IDLE_CONNECTIONS)
                .filter_map(|_| TcpStream::connect(first.process.address).ok())
                .collect()
        } else {
            Vec::new()
        };
        let records = std::thread::scope(|scope| {
            for client in 0..self.script.clients {
                let clients = clients.clone();
                let seed = self.script.seed * 100 + client as u64;
                scope.spawn(move || clients.run_client(seed));
            }
            let _stop_clients = StopClientsOnDrop(&clients);
            self.run_processes(first)
        });
        drop(idle_connections);
        records
    }

    /// Serves clients with the first process, and ends it and its successors as the script says.
    fn run_processes(&mut self, mut first: RecordedProcess) -> Vec<ProcessRecord> {
        if self.script.ending == Ending::TermDuringStart {
            return vec![self.end_last(first, |_, _| {})];
        }
        self.wait_until_ready(&mut first);
        self.serve(&first.process);
        match self.script.ending {
            Ending::Term | Ending::TermDuringStart => vec![self.end_last(first, |_, _| {})],
            Ending::TermTwice => {
                let pause = Duration::from_millis(self.rng.u64(1..1_500));
                vec![self.end_last(first, move |process, since| {
                    signal_after(process, "TERM", pause, since);
                })]
            }
            Ending::HupWhileDraining => {
                let pause = Duration::from_millis(self.rng.u64(1..1_500));
                vec![self.end_last(first, move |process, since| {
                    signal_after(process, "HUP", pause, since);
                    process.signal_if_alive("HUP");
                })]
            }
            Ending::TermDuringReload => {
                first.process.signal("HUP");
                vec![self.end_last(first, |_, _| {})]
            }
            Ending::HandOver {
                generations,
                when_ready,
            } => self.hand_over(first, generations, when_ready),
            Ending::SuccessorKilled { when_ready } => self.kill_successor(first, when_ready),
            Ending::KilledWithoutTerm => vec![self.kill(first)],
        }
    }

    /// Waits for the script's time while clients are served, with the script's reloads, drain and
    /// faults of discovery.
    fn serve(&mut self, process: &Process) {
        let until = Instant::now() + self.script.serve_for;
        for _ in 0..self.script.reloads {
            process.signal("HUP");
            std::thread::sleep(Duration::from_millis(self.rng.u64(0..40)));
        }
        if self.script.drain {
            self.drain(process);
        }
        if self.script.discovery_faults {
            self.inject_discovery_fault();
        }
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    /// Drains a server for a while. Afterwards a data node is listed as restarted.
    fn drain(&mut self, process: &Process) {
        let server = self.rng.usize(0..SERVERS);
        let duration = Duration::from_millis(self.rng.u64(600..1_200));
        match &self.backend {
            Backend::Platform { nodes, discovery } => {
                let address = nodes[server].address;
                discovery.update_endpoint(self.revision + 1, terminating(server, address));
                let announced_at = self.start.elapsed();
                std::thread::sleep(duration);
                let ended_at = self.start.elapsed();
                let restarted = in_service(server, address).started_at(unix_ms());
                discovery.update_endpoint(self.revision + 2, restarted);
                self.drains.push(DrainRecord {
                    server,
                    announced_at,
                    ended_at,
                });
                self.revision += 2;
            }
            Backend::Features(servers) => {
                process.reload_inventory(&inventory(servers, Some(server)));
                let announced_at = self.start.elapsed();
                std::thread::sleep(duration);
                let ended_at = self.start.elapsed();
                process.reload_inventory(&inventory(servers, None));
                self.drains.push(DrainRecord {
                    server,
                    announced_at,
                    ended_at,
                });
            }
        }
    }

    /// Makes the discovery agent silent for a while, or makes it send a truncated list.
    fn inject_discovery_fault(&mut self) {
        let Backend::Platform { nodes, discovery } = &self.backend else {
            return;
        };
        let pause = Duration::from_millis(self.rng.u64(200..900));
        if self.rng.bool() {
            discovery.set_silent(true);
            std::thread::sleep(pause);
            discovery.set_silent(false);
        } else {
            let all: Vec<ListedEndpoint> = (0..nodes.len())
                .map(|n| in_service(n, nodes[n].address))
                .collect();
            self.revision += 1;
            discovery.send_truncated_list(&changed_endpoints(self.revision, &all));
        }
    }

    /// Starts successors and ends their predecessors until the last generation, which is ended too.
    fn hand_over(
        &mut self,
        first: RecordedProcess,
        generations: usize,
        when_ready: bool,
    ) -> Vec<ProcessRecord> {
        let mut records = Vec::new();
        let mut current = first;
        for _ in 1..generations {
            let mut successor = self.start_successor(&current);
            if when_ready {
                self.wait_until_ready(&mut successor);
                std::thread::sleep(Duration::from_millis(self.rng.u64(0..500)));
            }
            records.push(self.end(current, |_, _| {}));
            self.wait_until_ready(&mut successor);
            current = successor;
        }
        std::thread::sleep(Duration::from_millis(self.rng.u64(0..800)));
        records.push(self.end_last(current, |_, _| {}));
        records
    }

    /// Starts and kills a successor, and ends its predecessor some time later.
    fn kill_successor(&mut self, first: RecordedProcess, when_ready: bool) -> Vec<ProcessRecord> {
        let mut successor = self.start_successor(&first);
        if when_ready {
            self.wait_until_ready(&mut successor);
        }
        let killed = self.kill(successor);
        std::thread::sleep(Duration::from_millis(self.rng.u64(100..800)));
        vec![killed, self.end_last(first, |_, _| {})]
    }

    /// Ends the last process. Clients stop opening connections a while after the signal.
    fn end_last(
        &mut self,
        ended: RecordedProcess,
        further_signals: impl FnOnce(&Process, Instant),
    ) -> ProcessRecord {
        let until = self.start.elapsed() + Duration::from_millis(self.rng.u64(200..400));
        *self
            .clients
            .connects_until
            .lock()
            .expect("the mutex is not poisoned") = Some(until);
        self.end(ended, further_signals)
    }

    /// Sends SIGTERM and further signals and waits for the exit. Sends SIGKILL if the process has
    /// not exited when the kill is due.
    fn end(
        &self,
        mut ended: RecordedProcess,
        further_signals: impl FnOnce(&Process, Instant),
    ) -> ProcessRecord {
        sample_resources(&ended.process, &mut ended.record);
        let deadline = match self.script.front {
            FrontKind::Platform => Duration::from_millis(2 * LATENCY_OBJECTIVE_MS),
            FrontKind::Features => MAX_DEADLINE,
        };
        let terminated_at = Instant::now();
        ended.record.terminated_at = Some(self.start.elapsed());
        ended.process.signal("TERM");
        further_signals(&ended.process, terminated_at);
        let kill_due = terminated_at + deadline + KILL_MARGIN;
        ended.record.kill_due_at = Some(kill_due.duration_since(self.start));
        while ended.process.has_succeeded().is_none() && !self.is_past(kill_due) {
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        match ended.process.has_succeeded() {
            Some(success) => ended.record.exited_with_success = success,
            None => {
                ended.record.killed_at = Some(self.start.elapsed());
                ended.process.signal("KILL");
            }
        }
        self.finish(ended)
    }

    /// Returns whether a time has passed. The time is extended by the delay that was measured during
    /// the longest possible shutdown before it.
    fn is_past(&self, time: Instant) -> bool {
        let due = time.duration_since(self.start);
        let from = due.saturating_sub(MAX_DEADLINE + KILL_MARGIN);
        self.start.elapsed() >= due + self.meter.delay_between(from, due)
    }

    /// Sends SIGKILL without a SIGTERM.
    fn kill(&self, mut killed: RecordedProcess) -> ProcessRecord {
        sample_resources(&killed.process, &mut killed.record);
        killed.record.killed_at = Some(self.start.elapsed());
        killed.process.signal("KILL");
        self.finish(killed)
    }

    /// Waits for the exit and reads the counter of violated invariants from the log.
    fn finish(&self, mut ended: RecordedProcess) -> ProcessRecord {
        ended.process.wait_for_exit();
        ended.record.exited_at = Some(self.start.elapsed());
        let log = ended.process.finish_log();
        let counters = log.iter().rev().find(|line| line.contains(" counters "));
        let broken = counters.and_then(|line| {
            let words = line.split(' ');
            words
                .filter_map(|word| word.strip_prefix("broken_invariants="))
                .next()
        });
        ended.record.broken_invariants = broken.and_then(|number| number.parse().ok());
        self.ended
            .lock()
            .expect("the mutex is not poisoned")
            .push(ended.process);
        ended.record
    }

    /// Starts the first process.
    fn start_process(&self) -> RecordedProcess {
        let test_name = format!("soak-{}", self.script.seed);
        let process = match &self.backend {
            Backend::Platform { nodes, discovery } => {
                let descriptor_limit = if self.script.exhausts_descriptors {
                    LOW_DESCRIPTOR_LIMIT
                } else {
                    1024
                };
                let deployment = Deployment {
                    latency_objective_ms: LATENCY_OBJECTIVE_MS,
                    descriptor_limit,
                    max_batch: 4,
                    ..Deployment::ALL_EFFECTS
                };
                let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
                let mut configuration = deployment.configuration(discovery.address, &addresses);
                // All generations have the same address, also a process without a hand-over.
                configuration["listen"] = unused_address().to_string().into();
                let temporary_directory = Some(self.temporary_directory.as_path());
                Process::start_platform_front_in(
                    &test_name,
                    &configuration,
                    descriptor_limit,
                    temporary_directory,
                )
            }
            Backend::Features(servers) => {
                Process::start_feature_front(&test_name, "", &inventory(servers, None))
            }
        };
        RecordedProcess {
            process,
            record: ProcessRecord::default(),
        }
    }

    /// Starts a successor of a process.
    fn start_successor(&self, predecessor: &RecordedProcess) -> RecordedProcess {
        RecordedProcess {
            process: predecessor
                .process
                .start_successor(Path::new(&self.temporary_directory)),
            record: ProcessRecord::default(),
        }
    }

    /// Waits until the readiness check succeeds and records the time.
    fn wait_until_ready(&self, process: &mut RecordedProcess) {
        let started = Instant::now();
        while !is_ready(process.process.address) {
            assert!(
                started.elapsed() < READY_TIMEOUT,
                "the process was not ready in time"
            );
            std::thread::sleep(READY_POLL_INTERVAL);
        }
        process.record.ready_at = Some(self.start.elapsed());
    }
}
