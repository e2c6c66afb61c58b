//! Readiness checks, signals and resource measurements of processes, and other helpers of a run.

use crate::history::ProcessRecord;
use crate::standin::http::bind_loopback;
use crate::standin::process::Process;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Returns an address whose port is free at the time of the call.
pub fn unused_address() -> SocketAddr {
    bind_loopback().local_addr().expect("the listener is bound")
}

/// Returns whether the readiness check of a process succeeds.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let sent = stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut text = Vec::new();
    let read = sent.and_then(|()| stream.read_to_end(&mut text));
    read.is_ok() && text.starts_with(b"HTTP/1.1 200")
}

/// Sends a signal at the time `pause` after `since`.
pub fn signal_after(process: &Process, signal: &str, pause: Duration, since: Instant) {
    std::thread::sleep(pause.saturating_sub(since.elapsed()));
    process.signal_if_alive(signal);
}

/// Records the peak memory of a process so far and the number of its open file descriptors.
pub fn sample_resources(process: &Process, record: &mut ProcessRecord) {
    let proc = PathBuf::from(format!("/proc/{}", process.id()));
    let status = std::fs::read_to_string(proc.join("status")).unwrap_or_default();
    let memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = memory.and_then(|text| text.trim().split(' ').next()?.parse().ok());
    record.peak_memory_kib = kib.unwrap_or(0);
    record.peak_descriptors = std::fs::read_dir(proc.join("fd")).map_or(0, Iterator::count);
}

/// Returns the current time since the Unix epoch, in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("the clock is after 1970").as_millis() as u64
}
