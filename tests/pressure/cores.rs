//! The share of a core that the process under test gets.

use crate::standin::process::Process;
use rustix::thread::{sched_getaffinity, sched_setaffinity, CpuSet, Pid};
use std::process::{Child, Command};

/// Returns the last core that the test may use.
fn last_core() -> usize {
    let allowed = sched_getaffinity(None).expect("the affinity is known");
    let mut cores = (0..CpuSet::MAX_CPU).rev();
    let last = cores.find(|core| allowed.is_set(*core));
    last.expect("a core is allowed")
}

/// Lets all threads of a process run on one core only.
fn pin(process_id: u32) {
    let mut cores = CpuSet::new();
    cores.set(last_core());
    let threads = std::fs::read_dir(format!("/proc/{process_id}/task")).expect("the process runs");
    for thread in threads.flatten() {
        let id = thread.file_name().to_str().and_then(|id| id.parse().ok());
        let pid = Pid::from_raw(id.expect("a thread has a number"));
        sched_setaffinity(pid, &cores).expect("the core is allowed");
    }
}

/// Processes that keep the core of the process under test busy. They end when this is dropped.
pub struct BusyProcesses(Vec<Child>);

impl BusyProcesses {
    /// Pins the process under test to one core, on which `busy` other processes run without a pause.
    pub fn share_core(process: &Process, busy: usize) -> BusyProcesses {
        pin(process.id());
        let start = |_| {
            let mut command = Command::new("sh");
            let child = command.args(["-c", "while :; do :; done"]).spawn();
            let child = child.expect("a shell starts");
            pin(child.id());
            child
        };
        BusyProcesses((0..busy).map(start).collect())
    }
}

impl Drop for BusyProcesses {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
