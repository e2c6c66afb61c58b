//! The sockets of a process and those that it polls, as the kernel shows them.

use std::collections::HashSet;
use std::fs;

/// The states of a TCP socket in which it may receive: established, and closed by the peer.
const RECEIVING_STATES: [&str; 2] = ["01", "08"];

/// Returns the descriptors of the TCP connections of a process that are in none of its poll sets.
/// Connections to `ignored_port` of the process are left out.
pub fn unpolled_connections(process_id: u32, ignored_port: u16) -> HashSet<u32> {
    let connections = connection_inodes(process_id, ignored_port);
    let mut polled = HashSet::new();
    let mut open = HashSet::new();
    for (descriptor, target) in descriptors(process_id) {
        if target.contains("eventpoll") {
            polled.extend(polled_by(process_id, descriptor));
        }
        let inode = target.strip_prefix("socket:[");
        let inode = inode.and_then(|rest| rest.strip_suffix(']')?.parse().ok());
        if inode.is_some_and(|inode: u64| connections.contains(&inode)) {
            open.insert(descriptor);
        }
    }
    &open - &polled
}

/// Returns the open descriptors of a process and what they refer to.
fn descriptors(process_id: u32) -> Vec<(u32, String)> {
    let entries = fs::read_dir(format!("/proc/{process_id}/fd")).expect("the process runs");
    let descriptor = |entry: fs::DirEntry| {
        let number = entry.file_name().to_str()?.parse().ok()?;
        let target = fs::read_link(entry.path()).ok()?;
        Some((number, target.to_str()?.to_owned()))
    };
    entries.flatten().filter_map(descriptor).collect()
}

/// Returns the descriptors in the poll set that this descriptor refers to.
fn polled_by(process_id: u32, descriptor: u32) -> HashSet<u32> {
    let path = format!("/proc/{process_id}/fdinfo/{descriptor}");
    let text = fs::read_to_string(path).unwrap_or_default();
    let polled = |line: &str| {
        let target = line.strip_prefix("tfd:")?;
        target.split_whitespace().next()?.parse().ok()
    };
    text.lines().filter_map(polled).collect()
}

/// Returns the inodes of the TCP connections in the network namespace of a process.
fn connection_inodes(process_id: u32, ignored_port: u16) -> HashSet<u64> {
    let path = format!("/proc/{process_id}/net/tcp");
    let table = fs::read_to_string(path).expect("the process runs");
    let ignored = format!(":{ignored_port:04X}");
    let inode = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let receives = RECEIVING_STATES.contains(fields.get(3)?);
        let inode = fields.get(9)?.parse().ok()?;
        (receives && !fields[1].ends_with(&ignored)).then_some(inode)
    };
    table.lines().skip(1).filter_map(inode).collect()
}
