//! One client asks which devices fall inside a drawn outage area. The front evaluates the filter
//! itself, a whole page without a pause, and answers nobody meanwhile.

use super::edge::{start_front, write_inventory};
use super::feature_server::{devices, FeatureServer};
use super::http;
use super::load::{describe, Load};
use super::{Setting, Verdict};
use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::thread::sleep;
use std::time::Duration;

/// Points of the drawn area.
const POINTS: usize = 15_000;
/// Devices of each shard, all inside the area.
const DEVICES: usize = 500;
/// The time that the other clients give their queries.
const EXPIRES_S: f64 = 2.0;
/// How much later than its time a final answer still counts.
const SLACK_S: f64 = 0.5;
/// Queries a second of the other clients.
const RATE: f64 = 14.0;

/// Returns a search for the devices within an area with this number of corners.
fn search(points: usize) -> String {
    let corner = |index: usize| {
        let angle = index as f64 / points as f64 * TAU;
        let radius = 0.9 + 0.05 * ((index * 7_919 % 1_000) as f64 / 1_000.0);
        format!(
            "[{:.5},{:.5}]",
            -120.0 + radius * angle.cos(),
            38.0 + radius * angle.sin()
        )
    };
    let ring: Vec<String> = (0..points).chain([0]).map(corner).collect();
    format!(
        "{{\"collections\":[\"devices\"],\"limit\":1000,\"filter-lang\":\"cql2-json\",\"filter\":\
         {{\"op\":\"s_within\",\"args\":[{{\"property\":\"geometry\"}},\
         {{\"type\":\"Polygon\",\"coordinates\":[[{}]]}}]}}}}",
        ring.join(",")
    )
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let work = Duration::from_millis(30);
    let shard = |name: &str| (format!("devices-{name}"), devices(name, DEVICES, "a"));
    let north = BTreeMap::from([shard("north")]);
    let south = BTreeMap::from([shard("south")]);
    let both = BTreeMap::from([shard("north"), shard("south")]);
    let first = FeatureServer::start(record, "features-1", north, work)?;
    let second = FeatureServer::start(record, "features-2", both, work)?;
    let third = FeatureServer::start(record, "features-3", south, work)?;
    let inventory = format!(
        "name,address,collections,state\n\
         features-1,{},devices/devices-north,in_service\n\
         features-2,{},devices/devices-north;devices/devices-south,in_service\n\
         features-3,{},devices/devices-south,in_service\n",
        first.address, second.address, third.address
    );
    write_inventory(setting, "inventory.csv", &inventory)?;
    let mut program = start_front(setting, "inventory.csv")?;
    let headers = format!("X-Expires-In: {EXPIRES_S}\r\n");
    let target = "/collections/devices/items?limit=10";
    let wait = Duration::from_secs(20);
    let load = Load::start(record, program.address, target, &headers, RATE, wait);
    sleep(Duration::from_secs(4));
    let points = if setting.trouble { POINTS } else { 4 };
    let address = program.address;
    let mapping = {
        let record = record.clone();
        std::thread::spawn(move || {
            let body = search(points);
            record.note(format!(
                "mapping client: POST /search, an area of {points} points, {} bytes",
                body.len()
            ));
            let reply = http::post(address, "/search", "X-Expires-In: 6\r\n", &body, wait);
            record.note(format!("mapping client: {}", describe(&reply)));
        })
    };
    sleep(Duration::from_secs(10));
    let queries = load.finish();
    let _ = mapping.join();
    let ended = program.has_ended();
    program.note_log(&setting.directory);
    if ended {
        return Ok(Verdict::Broken("the program has ended".to_owned()));
    }
    let limit = EXPIRES_S + SLACK_S;
    let lost: Vec<f64> = queries
        .iter()
        .filter(|query| query.outcome.is_err() || query.ended_at - query.sent_at > limit)
        .map(|query| query.ended_at - query.sent_at)
        .collect();
    let total = queries.len();
    let longest = lost
        .iter()
        .fold(0.0, |longest: f64, time| longest.max(*time));
    record.note(format!(
        "{} of {total} queries had no final answer within {limit} s",
        lost.len()
    ));
    if lost.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "{} of {total} queries of other clients had no final answer {limit} s after they were sent, \
         {SLACK_S} s after their time; the longest wait was {longest:.1} s",
        lost.len()
    )))
}
