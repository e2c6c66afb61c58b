//! The only server that is left of a shard is marked as gone. The answers lack the shard and say
//! that they are whole.

use super::edge::{start_front, write_inventory};
use super::feature_server::{devices, FeatureServer};
use super::http;
use super::load::describe;
use super::{Setting, Verdict};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

const DEVICES: usize = 20;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let work = Duration::from_millis(30);
    let shard = |name: &str| (format!("devices-{name}"), devices(name, DEVICES, "a"));
    let north = BTreeMap::from([shard("north")]);
    let south = BTreeMap::from([shard("south")]);
    let first = FeatureServer::start(record, "features-1", north, work)?;
    let second = FeatureServer::start(record, "features-2", south, work)?;
    let inventory = |state: &str| {
        format!(
            "name,address,collections,state\n\
             features-1,{},devices/devices-north,in_service\n\
             features-2,{},devices/devices-south,{state}\n",
            first.address, second.address
        )
    };
    write_inventory(setting, "inventory.csv", &inventory("in_service"))?;
    let program = start_front(setting, "inventory.csv")?;
    sleep(Duration::from_millis(500));
    let state = if setting.trouble {
        "gone"
    } else {
        "in_service"
    };
    write_inventory(setting, "inventory.csv", &inventory(state))?;
    program.signal("HUP");
    sleep(Duration::from_secs(5));
    let mut dishonest = 0;
    for class in ["map", "exact"] {
        for _ in 0..5 {
            let headers = format!("X-Qos: {class}\r\nX-Expires-In: 4\r\n");
            let target = "/collections/devices/items?limit=100";
            let reply = http::get(program.address, target, &headers, Duration::from_secs(8));
            record.note(format!("client, class {class}: {}", describe(&reply)));
            let Ok(reply) = reply else { continue };
            let whole = reply.status == 200 && reply.header("X-Answer-Whole") == Some("true");
            let south = reply.body.matches("\"south-").count();
            if whole && south < DEVICES {
                dishonest += 1;
            }
        }
    }
    program.note_log(&setting.directory);
    if dishonest == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{dishonest} of 10 answers say that they are whole and have no device of devices-south"
    )))
}
