//! A client reads a collection answer by answer. Between two answers the server in whose page the
//! last one ended is replaced by one with another order. The next answer leaves devices out and
//! says nothing.

use super::edge::{start_front, write_inventory};
use super::feature_server::{devices, FeatureServer};
use super::http;
use super::load::describe;
use super::{Setting, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

/// The shards of the collection, in the order of their names, which is that of the answers.
const SHARDS: [&str; 3] = ["east", "north", "south"];
/// Devices of each shard.
const DEVICES: usize = 37;
/// Features of an answer: the second answer ends within the first page of the last shard.
const LIMIT: usize = 54;
/// The answer after which the server of the last shard is replaced.
const REPLACED_AFTER: usize = 2;
/// The most answers that a client reads.
const MOST_ANSWERS: usize = 40;

/// Returns the target of the `next` link in an answer; `None` if there is none.
fn next_target(body: &str, address: SocketAddr) -> Option<String> {
    let links = body.split("\"links\":[").nth(1)?;
    let link = links
        .split('{')
        .find(|link| link.contains("\"rel\":\"next\""))?;
    let href = link.split("\"href\":\"").nth(1)?.split('"').next()?;
    href.strip_prefix(&format!("http://{address}"))
        .map(str::to_owned)
}

/// Adds the ids of the devices in an answer to `seen`.
fn add_ids(body: &str, seen: &mut BTreeSet<String>) {
    for piece in body.split("\"id\":\"").skip(1) {
        seen.extend(piece.split('"').next().map(str::to_owned));
    }
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let work = Duration::from_millis(30);
    let shard = |name: &str, list| BTreeMap::from([(format!("devices-{name}"), list)]);
    let [east, north, south] = SHARDS.map(|name| devices(name, DEVICES, "a"));
    let mut reversed = south.clone();
    reversed.reverse();
    let first = FeatureServer::start(record, "features-1", shard("east", east), work)?;
    let second = FeatureServer::start(record, "features-2", shard("north", north), work)?;
    let third = FeatureServer::start(record, "features-3", shard("south", south), work)?;
    let replacement = FeatureServer::start(record, "features-4", shard("south", reversed), work)?;
    let inventory = |last: &FeatureServer| {
        format!(
            "name,address,collections,state\n\
             features-1,{},devices/devices-east,in_service\n\
             features-2,{},devices/devices-north,in_service\n\
             {},{},devices/devices-south,in_service\n",
            first.address, second.address, last.name, last.address
        )
    };
    write_inventory(setting, "inventory.csv", &inventory(&third))?;
    let program = start_front(setting, "inventory.csv")?;
    let mut target = format!("/collections/devices/items?limit={LIMIT}");
    let mut seen = BTreeSet::new();
    let mut answers = 0;
    loop {
        let reply = http::get(program.address, &target, "", Duration::from_secs(8));
        record.note(format!("client: GET {target}: {}", describe(&reply)));
        let reply = reply?;
        let whole = reply.status == 200 && reply.header("X-Answer-Whole") == Some("true");
        if !whole {
            // The client is told, and can begin again.
            record.note(format!("client: {}", reply.body));
            program.note_log(&setting.directory);
            return if answers == 0 {
                Err("no first answer".to_owned())
            } else {
                Ok(Verdict::Held)
            };
        }
        answers += 1;
        add_ids(&reply.body, &mut seen);
        if answers == REPLACED_AFTER && setting.trouble {
            write_inventory(setting, "inventory.csv", &inventory(&replacement))?;
            program.signal("HUP");
            sleep(Duration::from_secs(5));
        }
        match next_target(&reply.body, program.address) {
            Some(next) if answers < MOST_ANSWERS => target = next,
            _ => break,
        }
    }
    program.note_log(&setting.directory);
    let expected: BTreeSet<String> = SHARDS
        .iter()
        .flat_map(|name| (0..DEVICES).map(move |index| format!("{name}-{index}")))
        .collect();
    let missing: Vec<&String> = expected.difference(&seen).collect();
    record.note(format!(
        "{} of {} devices seen in {answers} answers; missing: {missing:?}",
        seen.len(),
        expected.len()
    ));
    if missing.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} of {} devices are in none of the {answers} answers, each of which says that it is whole",
        missing.len(),
        expected.len()
    )))
}
