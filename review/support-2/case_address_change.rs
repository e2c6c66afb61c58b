//! A server of the inventory moves to another address, with newer data. Its process at the old
//! address, which is no longer listed, gets new requests for as long as there is traffic, and
//! clients get its old data.

use super::edge::{start_front, write_inventory};
use super::feature_server::{devices, FeatureServer};
use super::load::Load;
use super::{Setting, Verdict};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// From when on nothing new may go to the old address: 4 s after SIGHUP the new configuration
/// counts as told, 0.25 s is the grace of a drain, and each limit is 0.05 s longer on sockets.
const TOLD_AND_GRACE_S: f64 = 4.0 + 0.25 + 0.05;
/// Queries a second of the whole deployment.
const RATE: f64 = 14.0;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let work = Duration::from_millis(130);
    let shard = |name: &str, note: &str| (format!("devices-{name}"), devices(name, 40, note));
    let north = |note: &str| BTreeMap::from([shard("north", note)]);
    let south = BTreeMap::from([shard("south", "new")]);
    let both = BTreeMap::from([shard("north", "new"), shard("south", "new")]);
    let old = FeatureServer::start(record, "features-1-old", north("old"), work)?;
    let new = FeatureServer::start(record, "features-1-new", north("new"), work)?;
    let second = FeatureServer::start(record, "features-2", both, work)?;
    let third = FeatureServer::start(record, "features-3", south, work)?;
    let inventory = |first: &FeatureServer| {
        format!(
            "name,address,collections,state\n\
             features-1,{},devices/devices-north,in_service\n\
             features-2,{},devices/devices-north;devices/devices-south,in_service\n\
             features-3,{},devices/devices-south,in_service\n",
            first.address, second.address, third.address
        )
    };
    write_inventory(setting, "inventory.csv", &inventory(&old))?;
    let program = start_front(setting, "inventory.csv")?;
    let target = "/collections/devices/items?limit=100";
    let load = Load::start(
        record,
        program.address,
        target,
        "",
        RATE,
        Duration::from_secs(8),
    );
    sleep(Duration::from_secs(3));
    let listed = if setting.trouble { &new } else { &old };
    write_inventory(setting, "inventory.csv", &inventory(listed))?;
    // As in any second of such traffic, a request is in progress at the server that moves.
    let waiting = Instant::now();
    while old.in_progress() == 0 && waiting.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(1));
    }
    let reloaded_at = program.signal("HUP");
    sleep(Duration::from_secs(14));
    let queries = load.finish();
    program.note_log(&setting.directory);
    let answered = || {
        queries
            .iter()
            .filter_map(|query| Some((query, query.outcome.as_ref().ok()?)))
    };
    let served = answered().filter(|(_, reply)| reply.status == 200).count();
    record.note(format!(
        "{served} of {} queries answered with 200",
        queries.len()
    ));
    let is_late = |at: f64| setting.trouble && at - reloaded_at > TOLD_AND_GRACE_S;
    let stale = answered()
        .filter(|(query, reply)| is_late(query.sent_at) && reply.body.contains("\"old\""))
        .count();
    let too_late: Vec<f64> = old
        .received()
        .into_iter()
        .filter(|at| is_late(*at))
        .map(|at| at - reloaded_at)
        .collect();
    let at_new = new.received().len();
    record.note(format!("{at_new} requests at the new address"));
    if too_late.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} requests began at the address that is no longer listed later than {TOLD_AND_GRACE_S} s \
         after SIGHUP, the last one {:.1} s after it; {at_new} went to the new address; {stale} \
         answers to queries sent after that have its old data",
        too_late.len(),
        too_late.iter().fold(0.0, |last: f64, after| last.max(*after))
    )))
}
