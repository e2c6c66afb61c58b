//! The script of a run, drawn from its seed.

use std::time::Duration;

/// The front that the process under test serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    Platform,
    Features,
}

/// How the processes of a run end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// One SIGTERM.
    Term,
    /// A second SIGTERM while the process drains.
    TermTwice,
    /// SIGHUP while the process drains.
    HupWhileDraining,
    /// SIGTERM immediately after the process starts to listen.
    TermDuringStart,
    /// SIGTERM immediately after SIGHUP.
    TermDuringReload,
    /// Successors take over. Each predecessor gets SIGTERM when its successor is ready, or while
    /// the successor is starting.
    HandOver {
        generations: usize,
        when_ready: bool,
    },
    /// A successor gets SIGKILL when it is ready, or while it is starting. Its predecessor
    /// continues to serve and gets SIGTERM later.
    SuccessorKilled { when_ready: bool },
    /// SIGKILL without a SIGTERM.
    KilledWithoutTerm,
}

/// The script of a run.
#[derive(Debug, Clone)]
pub struct Script {
    pub seed: u64,
    pub front: FrontKind,
    pub ending: Ending,
    /// The time for which clients are served before the first process ends.
    pub serve_for: Duration,
    /// The number of SIGHUPs while clients are served, in quick succession.
    pub reloads: usize,
    /// The number of clients that send requests.
    pub clients: usize,
    /// Whether idle connections exhaust the file descriptors of the process.
    pub exhausts_descriptors: bool,
    /// Whether servers fail, reject or ignore requests, disconnect, and answer late or with invalid
    /// bytes.
    pub server_faults: bool,
    /// Whether a server drains for a while.
    pub drain: bool,
    /// Whether the discovery agent is silent for a while or sends a truncated list.
    pub discovery_faults: bool,
}

impl Script {
    /// Draws the script of a seed. The ending is derived from the seed's remainder, so that a few
    /// consecutive seeds have many different endings.
    pub fn draw(seed: u64) -> Script {
        let mut rng = fastrand::Rng::with_seed(seed);
        let front = if rng.u8(0..3) > 0 {
            FrontKind::Platform
        } else {
            FrontKind::Features
        };
        let platform = front == FrontKind::Platform;
        let ending = draw_ending(seed, platform, &mut rng);
        let single = !matches!(
            ending,
            Ending::HandOver { .. } | Ending::SuccessorKilled { .. }
        );
        let drain = single && rng.bool();
        Script {
            seed,
            front,
            ending,
            serve_for: Duration::from_millis(rng.u64(1_500..4_000)),
            reloads: rng.usize(0..4),
            clients: rng.usize(8..16),
            exhausts_descriptors: platform && rng.u8(0..4) == 0,
            server_faults: rng.u8(0..4) > 0,
            drain,
            discovery_faults: platform && !drain && rng.bool(),
        }
    }
}

/// Draws the ending of a script. Only the platform front has hand-overs.
fn draw_ending(seed: u64, platform: bool, rng: &mut fastrand::Rng) -> Ending {
    match seed % 8 {
        0 => Ending::Term,
        1 => Ending::TermTwice,
        2 => Ending::HupWhileDraining,
        3 => Ending::TermDuringStart,
        4 => Ending::TermDuringReload,
        5 if platform => Ending::HandOver {
            generations: rng.usize(2..4),
            when_ready: rng.bool(),
        },
        6 if platform => Ending::SuccessorKilled {
            when_ready: rng.bool(),
        },
        7 => Ending::KilledWithoutTerm,
        _ => Ending::Term,
    }
}
