//! A client reads a sorted collection whose results are spread over several answers. The front and
//! the server order the ids differently, and devices are in none of the answers.

use super::edge::{start_front, write_inventory};
use super::feature_server::{Device, FeatureServer};
use super::http;
use super::load::describe;
use super::{Setting, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Devices of the collection, all of one voltage, with the ids 1, 2, 3 and so on.
const DEVICES: u32 = 25;
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

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let work = Duration::from_millis(30);
    let devices: Vec<Device> = (1..=DEVICES)
        .map(|id| Device {
            id: id.to_string(),
            longitude: -120.0,
            latitude: 38.0,
            note: "a".to_owned(),
        })
        .collect();
    let shard = BTreeMap::from([("devices".to_owned(), devices)]);
    let first = FeatureServer::start_sorting(record, "features-1", shard.clone(), work)?;
    let second = FeatureServer::start_sorting(record, "features-2", shard, work)?;
    let inventory = format!(
        "name,address,collections,state\n\
         features-1,{},devices,in_service\n\
         features-2,{},devices,in_service\n",
        first.address, second.address
    );
    write_inventory(setting, "inventory.csv", &inventory)?;
    let program = start_front(setting, "inventory.csv")?;
    let limit = if setting.trouble { 5 } else { 100 };
    let mut target = format!("/collections/devices/items?limit={limit}&sortby=volts");
    let mut seen = BTreeSet::new();
    let mut answers = 0;
    loop {
        let reply = http::get(program.address, &target, "", Duration::from_secs(8));
        record.note(format!("client: GET {target}: {}", describe(&reply)));
        let reply = reply?;
        let whole = reply.status == 200 && reply.header("X-Answer-Whole") == Some("true");
        if !whole {
            record.note(format!("client: {}", reply.body));
            // 400 says that the front cannot sort so; any later error tells the client enough.
            return if answers == 0 && reply.status != 400 {
                Err("no first answer".to_owned())
            } else {
                Ok(Verdict::Held)
            };
        }
        answers += 1;
        let ids: Vec<u32> = reply
            .body
            .split("\"id\":")
            .skip(1)
            .filter_map(|piece| piece.split(',').next()?.parse().ok())
            .collect();
        record.note(format!("client: ids {ids:?}"));
        seen.extend(ids);
        match next_target(&reply.body, program.address) {
            Some(next) if answers < MOST_ANSWERS => target = next,
            _ => break,
        }
    }
    program.note_log(&setting.directory);
    let missing: Vec<u32> = (1..=DEVICES).filter(|id| !seen.contains(id)).collect();
    record.note(format!(
        "{} of {DEVICES} devices seen in {answers} answers; missing: {missing:?}",
        seen.len()
    ));
    if missing.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} of {DEVICES} devices are in none of the {answers} answers, each of which says that it is whole",
        missing.len()
    )))
}
