//! The script of a run, drawn from its seed.

use std::time::Duration;

/// The protocol that the process serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    Platform,
    Features,
}

/// The way in which the processes of a run end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// One SIGTERM.
    Term,
    /// A second SIGTERM while the process drains.
    TermTwice,
    /// SIGHUP while the process drains.
    HupWhileDraining,
    /// SIGTERM right after the process listens.
    TermDuringStart,
    /// SIGTERM right behind SIGHUP.
    TermDuringReload,
    /// Successors take over; each predecessor is told to end once its successor is ready, or while
    /// its successor starts.
    HandOver {
        generations: usize,
        when_ready: bool,
    },
    /// A successor is killed; its predecessor serves on and is then told to end.
    SuccessorKilled { when_ready: bool },
    /// SIGKILL without a SIGTERM.
    KilledAtAnyTime,
}

/// The script of a run.
#[derive(Debug, Clone)]
pub struct Script {
    pub seed: u64,
    pub front: FrontKind,
    pub ending: Ending,
    /// The time for which clients are served before the end begins.
    pub serve_for: Duration,
    /// The number of SIGHUPs while clients are served, in quick succession.
    pub reloads: usize,
    /// The number of clients that send requests.
    pub clients: usize,
    /// Whether idle clients fill the descriptors.
    pub crowd: bool,
    /// Whether servers fail, hang, reject, disconnect and answer late or with invalid bytes.
    pub server_faults: bool,
    /// Whether a server drains for a while.
    pub drain: bool,
    /// Whether discovery is silent, cuts a list, and comes back.
    pub discovery_faults: bool,
}

impl Script {
    /// Draws the script of a seed. The endings take turns, so that a few seeds have many.
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
            crowd: platform && rng.u8(0..4) == 0,
            server_faults: rng.u8(0..4) > 0,
            drain,
            discovery_faults: platform && !drain && rng.bool(),
        }
    }
}

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
        7 => Ending::KilledAtAnyTime,
        _ => Ending::Term,
    }
}
