//! The program: for each front a core, and the coroutines that feed it.

use super::admin;
use super::clients::{Bounds, Clients};
use super::config::{ActiveConfig, Config};
use super::feature_client::FeatureClient;
use super::handover::{self, Peer};
use super::node_client::NodeClient;
use super::timer::Timer;
use super::{spawn, watch, Upstream, LARGE_STACK_WORDS, SMALL_STACK_WORDS, TURN_STACK_WORDS};
use crate::coordinator::{Command, Coordinator, Input, Metrics, ProcessGeneration, COUNTERS};
use crate::front::ogc::config::Edge;
use crate::front::ogc::cursor::Key;
use crate::front::ogc::{self, Ogc, SharedCatalog};
use crate::front::platform::{Named, Platform, SharedNamed};
use crate::front::Front;
use crate::interface::Settings;
use crate::limits::ServerCapacity;
use crate::proto::discovery::read_listing;
use crate::settings::CoordinatorSettings;
use crate::time::{unix_ms, Clock, Micros};
use may::coroutine::JoinHandle;
use may::io::CoIo;
use may::sync::mpsc::{channel, Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};

/// The longest sleep of the core: signals are looked at this often.
const MAX_SLEEP: Micros = Micros::from_millis(50);
/// Client connections are tidied this often,
const TIDY_INTERVAL: Micros = Micros::from_millis(250);
/// and those to servers so often: a part may be waiting for what will never come.
const TIDY_SERVERS_INTERVAL: Micros = MAX_SLEEP;
/// Without a word from discovery, the list known at the start serves after so long.
const WAIT_FOR_LIST: Micros = Micros::from_millis(400);
/// `HEALTH` waits for discovery, but not for ever: the platform starts coordinators while discovery is down, too.
const WAIT_FOR_NEWS: Micros = Micros::from_millis(3_000);
/// A program told to end is killed no sooner than the longest deadline, or this if that is longer,
const MAX_DEADLINE: Micros = Micros::from_secs(3);
/// and this on top.
const KILL_GRACE: Micros = Micros::from_millis(700);
/// So long before that all is answered,
const KILL_MARGIN: Micros = Micros::from_millis(200);
/// and so long before that nothing more is taken.
const LAST_TIME: Micros = Micros::from_millis(300);
/// So long before it the program ends, whoever has his answer and does not close.
const END_MARGIN: Micros = Micros::from_millis(50);
/// After SIGTERM new connections go on coming for 0.2 to 0.4 s: so long the program stays, however short all deadlines are.
const LAST_COMERS: Micros = Micros::from_millis(450);
/// Nothing is waited for longer than this after SIGTERM.
const LAST_EXIT: Micros = Micros::from_secs(8);

/// When a program that is told to end has answered all that it takes after that, counted from then: before the kill.
fn last_answer(longest: Micros) -> Micros {
    longest.min(MAX_DEADLINE) + KILL_GRACE - KILL_MARGIN
}

/// A listening socket as the runtime waits on it.
type Listener = Arc<CoIo<TcpListener>>;

/// The other process while a new version is started beside the old.
#[derive(Default)]
struct Others {
    /// The one that served before this one.
    before: Option<Peer>,
    /// The one that takes over.
    after: Mutex<Option<Peer>>,
}

impl Others {
    /// Which of two this one is, as long as both live.
    fn beside(&self) -> Option<ProcessGeneration> {
        let lives = |p: &Option<Peer>| p.as_ref().is_some_and(Peer::lives);
        let after = lives(&self.after.lock().unwrap_or_else(|e| e.into_inner()));
        after
            .then_some(ProcessGeneration::Predecessor)
            .or(lives(&self.before).then_some(ProcessGeneration::Successor))
    }
}

/// What a service is made of beside its core.
struct Parts {
    name: String,
    listen: SocketAddr,
    bounds: Bounds,
    last_answer: Micros,
    front: Box<dyn Front>,
    core: Coordinator,
    upstream: Box<dyn Upstream>,
    inbox: Sender<Input>,
    arrivals: Receiver<Input>,
    listed: Arc<AtomicBool>,
    reload: Reload,
}

/// What a reload brought.
struct Reloaded {
    /// In words.
    words: String,
    /// For the core: a list of servers, or settings.
    input: Input,
    /// Settings, where they came.
    deployment: Option<CoordinatorSettings>,
}

/// Reads anew what may change while the program runs.
type Reload = Box<dyn FnMut(Micros) -> Result<Reloaded, String> + Send>;

/// Runs what is set up, the platform's front, the one for feature queries, or both, until it is told to end.
pub fn run(platform: Option<Config>, edge: Option<Edge>) -> Result<(), String> {
    // One core is all there is; and the worker must not choose which, since others may share it.
    may::config().set_workers(1).set_worker_pin(false);
    let clock = Clock::start();
    let signals = listen_for_signals()?;
    // Descriptors and memory are the process's: two fronts share them.
    let fronts = usize::from(platform.is_some()) + usize::from(edge.is_some());
    let figures = Arc::new(Metrics::default());
    let told = platform.as_ref().map(|c| (c.admin, c.max_descriptors));
    let also = edge.as_ref().map(|e| (e.mgmt, e.sockets));
    // Asked before anything else is made: whoever takes over is not to go in step with the one before.
    let first = platform.as_ref().map(|c| c.listen).or(edge.as_ref().map(|e| e.listen));
    let place = first.and_then(handover::place);
    let (mut taken, before) =
        place.as_deref().and_then(handover::take).map_or((Vec::new(), None), |t| (t.0, Some(t.1)));
    let others = Arc::new(Others { before, after: Mutex::default() });
    let mut services = Vec::new();
    if let Some(config) = platform {
        services.push(platform_service(&config, clock, &figures, others.before.is_some())?);
    }
    if let Some(edge) = edge {
        services.push(edge_service(edge, clock, &figures)?);
    }
    services.iter_mut().for_each(|s| s.bounds = s.bounds.shared(fronts));
    let listeners: Vec<_> =
        services.iter().map(|s| listen(s.listen, &mut taken)).collect::<Result<_, _>>()?;
    let listening: Vec<_> =
        services.iter().map(|s| s.listen).zip(listeners.iter().cloned().map(Socket)).collect();
    if let Some(place) = place {
        let others = others.clone();
        if others.before.is_none() {
            offer_sockets(&place, listening, others);
        } else {
            spawn(SMALL_STACK_WORDS, move || offer_sockets(&place, listening, others))
                .map_err(no_coroutine)?;
        }
    }
    let running: Vec<_> = services
        .into_iter()
        .zip(listeners)
        .map(|(s, l)| serve(s, l, clock, signals.clone(), others.clone()))
        .collect::<Result<_, _>>()?;
    // One address for the whole process; the platform's goes first.
    for (address, sockets) in told.into_iter().chain(also).filter_map(|(a, n)| Some((a?, n))).take(1) {
        let fronts: Vec<_> = running.iter().map(|r| r.0.clone()).collect();
        let health = Box::new(move || fronts.iter().try_for_each(|c| c.health()));
        let most = admin::reserved(sockets) - 1;
        // Clients are served without it too.
        if let Err(e) = admin::start(address, admin::Told { figures: figures.clone(), health, most }) {
            tracing::warn!("operators are not answered: {e}");
        }
    }
    for (_, done) in running {
        done.join().map_err(|_| "a core panicked".to_owned())?;
    }
    tracing::info!("{COUNTERS}");
    Ok(())
}

/// The listening socket that was handed over, or one's own.
fn listen(
    address: SocketAddr,
    taken: &mut Vec<handover::Listening<TcpListener>>,
) -> Result<Listener, String> {
    let at = taken.iter().position(|t| t.0 == address);
    let listener = match at {
        Some(at) => taken.swap_remove(at).1,
        None => handover::listen(address).map_err(|e| format!("listen on {address}: {e}"))?,
    };
    CoIo::new(listener).map(Arc::new).map_err(|e| format!("listen on {address}: {e}"))
}

/// A listening socket as it is handed over.
struct Socket(Listener);

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.inner().as_fd()
    }
}

/// Offers the sockets to the next process, once the one before has gone: until then that one does.
fn offer_sockets(place: &Path, listening: Vec<handover::Listening<Socket>>, others: Arc<Others>) {
    while others.before.as_ref().is_some_and(Peer::lives) {
        may::coroutine::sleep(MAX_SLEEP.to_duration());
    }
    let offered = handover::offer(place.to_owned(), listening, move |peer| {
        tracing::info!("the sockets are handed over to a new process");
        *others.after.lock().unwrap_or_else(|e| e.into_inner()) = Some(peer);
    });
    if let Err(e) = offered {
        tracing::warn!("a new version cannot take the sockets over: {}: {e}", place.display());
    }
}

fn longest(settings: &Settings) -> Micros {
    Micros::from_nanos(settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0))
}

fn no_coroutine(e: std::io::Error) -> String {
    format!("a coroutine: {e}")
}

fn platform_service(
    config: &Config,
    clock: Clock,
    figures: &Arc<Metrics>,
    beside: bool,
) -> Result<Parts, String> {
    let (inbox, arrivals) = channel();
    let listed = Arc::new(AtomicBool::new(false));
    let mut rev = 0;
    match read_listing(&config.known_endpoints, true, clock.now(), unix_ms()) {
        Ok(known) => {
            rev = known.rev;
            let _ = inbox.send(Input::EndpointUpdate(known.roster));
        }
        Err(e) => tracing::warn!("the known list cannot be read: {e}"),
    }
    let deployment = &config.settings;
    let place = watch::Place::new(config.discovery, deployment.policy.max_poll_interval);
    let (watch_inbox, watch_listed, watched) = (inbox.clone(), listed.clone(), place.clone());
    let waits = watch::Waits::new(config.seed);
    spawn(LARGE_STACK_WORDS, move || watch::follow(&watched, rev, &watch_inbox, clock, &watch_listed, waits))
        .map_err(no_coroutine)?;
    let named = Arc::new(Mutex::new(Named::new(deployment)));
    Ok(Parts {
        last_answer: last_answer(longest(&deployment.policy)),
        name: config.name.clone(),
        listen: config.listen,
        bounds: Bounds::new(config.max_descriptors, config.max_memory),
        front: Box::new(Platform::new(named.clone())),
        core: Coordinator::new(
            deployment.policy.clone(),
            deployment.max_in_flight,
            // In an upgrade both processes have one seed; in step they would take the same turns.
            if beside { config.seed ^ (u64::from(std::process::id()) << 32) } else { config.seed },
            clock.now(),
            figures.clone(),
        ),
        upstream: Box::new(NodeClient::new(deployment, inbox.clone(), clock)),
        inbox,
        arrivals,
        listed,
        reload: reload_configuration(config, place, named, figures.clone()),
    })
}

/// The platform's file may move discovery and change the settings while the program runs. At the start the environment
/// outranks the file, but it cannot change; an address that is new in the file is the later word.
fn reload_configuration(
    config: &Config,
    place: watch::Place,
    named: SharedNamed,
    figures: Arc<Metrics>,
) -> Reload {
    let (mut file, mut told) = (ActiveConfig::from_startup(config), config.file_discovery);
    Box::new(move |_| {
        let replaced = file.reload().map_err(|e| {
            figures.config_rejected.increment();
            format!("the configuration stays as it was: {e}")
        })?;
        figures.config_applied.increment();
        if told.replace(replaced.discovery) != Some(replaced.discovery) {
            place.move_to(replaced.discovery);
        }
        let deployment = replaced.settings;
        place.ask_within_is(deployment.policy.max_poll_interval);
        let names: Vec<_> = deployment.policy.classes.iter().map(|c| c.name.as_str()).collect();
        let words = format!(
            "the configuration is read anew: discovery is at {}, classes {}",
            place.address(),
            names.join(" ")
        );
        *named.lock().unwrap_or_else(|e| e.into_inner()) = Named::new(&deployment);
        let input = Input::Settings {
            settings: Box::new(deployment.policy.clone()),
            max_in_flight: deployment.max_in_flight,
        };
        Ok(Reloaded { words, input, deployment: Some(deployment) })
    })
}

fn edge_service(edge: Edge, clock: Clock, figures: &Arc<Metrics>) -> Result<Parts, String> {
    let (inbox, arrivals) = channel();
    let catalog = SharedCatalog::default();
    let mut reload: Reload = {
        let (edge, catalog) = (edge.clone(), catalog.clone());
        Box::new(move |now| {
            let servers = edge.servers().map_err(|e| format!("the inventory stays as it was: {e}"))?;
            let roster = ogc::lock(&catalog).load(&servers, now);
            let nodes = roster.endpoints.len();
            let words = format!("the inventory is loaded anew: {nodes} servers");
            Ok(Reloaded { words, input: Input::EndpointUpdate(roster), deployment: None })
        })
    };
    let _ = inbox.send(reload(clock.now())?.input);
    let bears = Arc::new(ServerCapacity::default());
    let key = Key::new(&edge.cursor_key().map_err(|e| e.to_string())?);
    // Two edges that start together must not go in step.
    let seed = unix_ms() ^ (u64::from(std::process::id()) << 40);
    Ok(Parts {
        last_answer: last_answer(longest(&edge.settings())),
        name: "feature queries".to_owned(),
        listen: edge.listen,
        bounds: Bounds::new(edge.sockets, edge.memory_mb * 1024 * 1024),
        core: Coordinator::new(edge.settings(), edge.most_held, seed, clock.now(), figures.clone()),
        upstream: Box::new(FeatureClient::new(&edge, inbox.clone(), clock, bears.clone())),
        front: Box::new(Ogc::new(edge, catalog, key, figures.clone(), bears)),
        inbox,
        arrivals,
        listed: Arc::new(AtomicBool::new(true)),
        reload,
    })
}

/// The clients of a service, and what ends with it.
type Running = (Arc<Clients>, JoinHandle<()>);

fn serve(
    parts: Parts,
    listener: Listener,
    clock: Clock,
    signals: Arc<Signals>,
    others: Arc<Others>,
) -> Result<Running, String> {
    let address = listener.inner().local_addr().map_err(|e| e.to_string())?;
    let ring = parts.inbox.clone();
    // The core outlives the alarm.
    let alarm = Timer::start(clock, move || drop(ring.send(Input::TimerDue))).map_err(|e| e.to_string())?;
    let clients = Clients::new(parts.front, listener, parts.bounds, parts.inbox, clock);
    let (accepting, watched) = (clients.clone(), others.clone());
    let beside = move || watched.before.as_ref().is_some_and(Peer::lives);
    spawn(LARGE_STACK_WORDS, move || accepting.accept(beside)).map_err(no_coroutine)?;
    if others.before.is_some() {
        tracing::info!("the sockets are taken over from the process before");
    }
    tracing::info!("{} listens on {address}", parts.name);
    let turns = Turns {
        core: parts.core,
        upstream: parts.upstream,
        clients: clients.clone(),
        clock,
        arrivals: parts.arrivals,
        alarm,
        reloads: signals.reloads.load(Relaxed),
        signals,
        listed: parts.listed,
        reload: parts.reload,
        last_answer: parts.last_answer,
        started: clock.now(),
        others,
        beside: None,
    };
    Ok((clients, spawn(TURN_STACK_WORDS, move || turns.run()).map_err(no_coroutine)?))
}

fn listen_for_signals() -> Result<Arc<Signals>, String> {
    let signals = Arc::new(Signals::default());
    let heard = signals.clone();
    let mut caught =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| e.to_string())?;
    // A thread of its own: waiting for a signal would block the worker.
    std::thread::Builder::new()
        .stack_size(64 * 1024)
        .spawn(move || {
            for signal in caught.forever() {
                match signal {
                    SIGTERM | SIGINT => heard.end.store(true, Relaxed),
                    SIGUSR1 => tracing::info!("{COUNTERS}"),
                    _ => {
                        heard.reloads.fetch_add(1, Relaxed);
                    }
                }
            }
        })
        .map_err(|e| e.to_string())?;
    Ok(signals)
}

#[derive(Default)]
struct Signals {
    end: AtomicBool,
    /// How often a reload was asked for.
    reloads: AtomicU64,
}

struct Turns {
    core: Coordinator,
    upstream: Box<dyn Upstream>,
    clients: Arc<Clients>,
    clock: Clock,
    arrivals: Receiver<Input>,
    alarm: Timer,
    signals: Arc<Signals>,
    listed: Arc<AtomicBool>,
    reload: Reload,
    reloads: u64,
    last_answer: Micros,
    started: Micros,
    others: Arc<Others>,
    beside: Option<ProcessGeneration>,
}

impl Turns {
    fn run(mut self) {
        let mut commands = Vec::new();
        let mut inputs = Vec::new();
        let (mut tidied, mut tidied_servers) = (self.clock.now(), self.clock.now());
        // Since when, and when all is answered: a reload that comes after the signal moves the kill no more.
        let mut leaving: Option<(Micros, Micros)> = None;
        loop {
            if inputs.is_empty() {
                inputs.extend(self.wait());
            }
            while let Ok(input) = self.arrivals.try_recv() {
                inputs.push(input);
            }
            let now = self.clock.now();
            self.core.turn(now, inputs.drain(..), &mut commands);
            for command in commands.drain(..) {
                self.carry_out(now, command);
            }
            if now.since(tidied_servers) >= TIDY_SERVERS_INTERVAL {
                tidied_servers = now;
                self.upstream.reap(now, &|key| self.core.is_in_flight(key));
            }
            if now.since(tidied) >= TIDY_INTERVAL {
                tidied = now;
                self.clients.tidy(now);
            }
            if self.listed.load(Relaxed) || now.since(self.started) >= WAIT_FOR_LIST {
                self.clients.ready.store(true, Relaxed);
            }
            if self.listed.load(Relaxed) || now.since(self.started) >= WAIT_FOR_NEWS {
                self.clients.informed.store(true, Relaxed);
            }
            self.share_if_beside();
            self.reload_if_asked(now, &mut inputs);
            let told = leaving.is_none() && self.signals.end.load(Relaxed);
            if told {
                leaving = Some((now, self.last_answer));
                self.core.set_final_deadline(now + self.last_answer);
            }
            if let Some((since, last_answer)) = leaving {
                // Looked at each turn: the signal may be quicker than the word that the sockets were taken.
                if self.beside == Some(ProcessGeneration::Predecessor) {
                    self.clients.hand_over();
                } else {
                    self.clients.take_back();
                }
                if told {
                    self.clients.not_ready();
                    // Said, to operators too, once it is so: whoever waits for that may ask at once.
                    tracing::info!("told to end: {} queries held", self.core.pending_queries());
                }
                let last = now.since(since) >= (last_answer - LAST_TIME).max(LAST_COMERS);
                if last {
                    self.clients.leave_all(now);
                }
                let over = now.since(since) >= last_answer + KILL_MARGIN - END_MARGIN;
                let open = if over { self.clients.owed() } else { self.clients.open() };
                let drained = self.core.pending_queries() == 0 && open == 0;
                let may_end = last || self.beside == Some(ProcessGeneration::Predecessor);
                if (may_end && drained && self.clients.queue_is_empty()) || now.since(since) >= LAST_EXIT {
                    tracing::info!("ends: {} queries held", self.core.pending_queries());
                    return;
                }
            }
        }
    }

    /// A new version is started beside this one, or the other of the two has gone.
    fn share_if_beside(&mut self) {
        let beside = self.others.beside();
        if beside != self.beside {
            self.beside = beside;
            self.core.set_process_generation(beside);
            self.clients.share(beside.is_some());
        }
    }

    /// A reload brings drains; a bad file changes nothing and says so.
    fn reload_if_asked(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        let asked = self.signals.reloads.load(Relaxed);
        if asked == self.reloads {
            return;
        }
        self.reloads = asked;
        match (self.reload)(now) {
            Ok(Reloaded { words, input, deployment }) => {
                COUNTERS.reloads.increment();
                tracing::info!("{words}");
                if let Some(deployment) = deployment {
                    self.last_answer = last_answer(longest(&deployment.policy));
                    self.upstream.reconfigure(&deployment);
                }
                // What was read under the old settings goes before the new ones.
                while let Ok(earlier) = self.arrivals.try_recv() {
                    inputs.push(earlier);
                }
                inputs.push(input);
            }
            Err(why) => {
                COUNTERS.bad_reloads.increment();
                tracing::warn!("{why}");
            }
        }
    }

    /// Waits for an input, the core's next due time, or the longest sleep.
    fn wait(&self) -> Option<Input> {
        let now = self.clock.now();
        let due = self.core.next_turn_due().map_or(now + MAX_SLEEP, |due| due.min(now + MAX_SLEEP));
        if due <= now {
            return None;
        }
        self.alarm.set(due);
        self.arrivals.recv().ok()
    }

    fn carry_out(&mut self, now: Micros, command: Command) {
        match command {
            Command::UpdateServer { replica, address, ready } => {
                self.upstream.update_server(replica, &address, ready, now)
            }
            Command::Dispatch { replica, attempts } => self.upstream.dispatch(replica, &attempts, now),
            Command::CancelAttempt { replica, key } => self.upstream.cancel(replica, key, now),
            Command::RemoveServer(replica) => self.upstream.remove_server(replica),
            Command::CloseIdle(replica) => self.upstream.close_idle(replica),
            Command::Reply { token, answer } => self.clients.answer(token, answer),
        }
    }
}
