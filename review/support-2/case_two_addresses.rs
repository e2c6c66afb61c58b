//! A YAML inventory names a server twice, with different addresses. The front takes it instead of
//! keeping the list that it trusts.

use super::edge::{start_front, write_inventory};
use super::feature_server::{devices, FeatureServer};
use super::http;
use super::load::describe;
use super::{Setting, Verdict};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::Duration;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let work = Duration::from_millis(30);
    let shard = |name: &str, note: &str| (format!("devices-{name}"), devices(name, 20, note));
    let north = BTreeMap::from([shard("north", "trusted")]);
    let south = BTreeMap::from([shard("south", "trusted")]);
    let other = BTreeMap::from([shard("south", "foreign")]);
    let first = FeatureServer::start(record, "features-1", north, work)?;
    let second = FeatureServer::start(record, "features-2", south, work)?;
    let wrong = FeatureServer::start(record, "another server", other, work)?;
    let host = |server: &FeatureServer| {
        format!(
            "{{ansible_host: 127.0.0.1, ansible_port: {}}}",
            server.address.port()
        )
    };
    let trusted = format!(
        "all:\n  vars:\n    state: in_service\n  children:\n    north:\n      vars:\n        \
         collections: devices/devices-north\n      hosts:\n        features-1: {}\n    south:\n      \
         vars:\n        collections: devices/devices-south\n      hosts:\n        features-2: {}\n",
        host(&first),
        host(&second)
    );
    let contradiction = format!(
        "    spare:\n      hosts:\n        features-2: {}\n",
        host(&wrong)
    );
    write_inventory(setting, "inventory.yaml", &trusted)?;
    let program = start_front(setting, "inventory.yaml")?;
    let target = "/collections/devices/items?limit=100";
    let ask = || {
        let reply = http::get(
            program.address,
            target,
            "X-Qos: exact\r\n",
            Duration::from_secs(8),
        );
        record.note(format!("client: {}", describe(&reply)));
        reply.map(|reply| reply.body).unwrap_or_default()
    };
    let before = ask();
    if before.matches("trusted").count() != 40 {
        return Err("the first answer does not have all devices".to_owned());
    }
    let text = if setting.trouble {
        trusted + &contradiction
    } else {
        trusted
    };
    write_inventory(setting, "inventory.yaml", &text)?;
    program.signal("HUP");
    sleep(Duration::from_secs(5));
    let foreign: usize = (0..5).map(|_| ask().matches("foreign").count()).sum();
    program.note_log(&setting.directory);
    let sent = wrong.received().len();
    if foreign == 0 && sent == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "after the contradictory list {sent} requests went to the other address, and 5 answers have \
         {foreign} features from there"
    )))
}
