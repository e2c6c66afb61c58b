//! The edge over stand-ins, to try by hand and to show that it works.

use crate::client::Client;
use crate::feature_server::{devices, Capabilities, FeatureServer};
use crate::process::{EdgeProcess, CLASSES};
use std::io::Result;
use std::path::Path;

/// Features of each of the two shards.
const EACH: usize = 2_000;

/// An edge over four servers: two shards, each on two of them, of different skill.
pub struct Demo {
    /// The edge.
    pub edge: EdgeProcess,
    /// Its servers.
    pub servers: Vec<FeatureServer>,
}

/// How the demo's collection is described.
pub const COLLECTION: &str = "
[[collection]]
id = \"devices\"
title = \"Customer devices\"
description = \"Made-up devices of two districts\"
bbox = [-121.0, 37.0, -119.0, 39.0]
";

impl Demo {
    /// Starts all of it.
    pub fn start(program: &Path) -> Result<Demo> {
        let start = |from: usize, skill| FeatureServer::start(devices(from..from + EACH), skill);
        let servers = vec![
            start(0, Capabilities::All)?,
            start(0, Capabilities::All)?,
            start(EACH, Capabilities::Basic)?,
            start(EACH, Capabilities::Core)?,
        ];
        let held = ["devices/north", "devices/north", "devices/south", "devices/south"];
        let row = |(n, (s, held)): (usize, (&FeatureServer, &str))| {
            s.row(&format!("features-{}", n + 1), held, "in_service")
        };
        let rows: String = servers.iter().zip(held).enumerate().map(row).collect();
        let edge =
            EdgeProcess::start(program, "mgmt = \"127.0.0.1:0\"", &rows, &format!("{CLASSES}{COLLECTION}"))?;
        Ok(Demo { edge, servers })
    }
}

/// A query to try: what it shows, and where it is.
pub const QUERIES: [(&str, &str); 9] = [
    ("all devices, a page", "/collections/devices/items?limit=100"),
    ("in a box", "/collections/devices/items?bbox=-120.5,37.5,-119.5,38.5&limit=1000"),
    ("in a drawn area", "/collections/devices/items?limit=1000&filter=S_INTERSECTS(geometry,POLYGON((-121%2037,-120%2037,-121%2038,-121%2037)))"),
    ("by voltage", "/collections/devices/items?limit=1000&filter=volts%20%3E%20230%20AND%20live%20%3D%20TRUE"),
    ("by name, accents apart", "/collections/devices/items?limit=1000&filter=ACCENTI(name)%20LIKE%20%27cafe%25%27"),
    ("highest voltage first", "/collections/devices/items?limit=20&sortby=-volts"),
    ("in Web Mercator", "/collections/devices/items?limit=5&crs=http://www.opengis.net/def/crs/EPSG/0/3857"),
    ("a map for people", "/collections/devices/items?limit=200&f=html"),
    ("one device", "/collections/devices/items/d00042"),
];

/// Asks the queries, checks the answers and prints a table. True: all were right.
pub fn once(demo: &Demo) -> Result<bool> {
    let mut client = Client::new(demo.edge.address);
    let all = devices(0..2 * EACH);
    let point = |f: &serde_json::Value| {
        let c = &f["geometry"]["coordinates"];
        (c[0].as_f64().unwrap_or(0.0), c[1].as_f64().unwrap_or(0.0))
    };
    let count = |holds: &dyn Fn(&serde_json::Value) -> bool| all.iter().filter(|f| holds(f)).count();
    let expected = [
        100,
        count(&|f| {
            let (x, y) = point(f);
            (-120.5..=-119.5).contains(&x) && (37.5..=38.5).contains(&y)
        }),
        count(&|f| {
            let (x, y) = point(f);
            (x + 121.0) + (y - 37.0) <= 1.0 + 1e-12
        }),
        count(&|f| f["properties"]["volts"].as_f64() > Some(230.0) && f["properties"]["live"] == true),
        count(&|f| f["properties"]["name"].as_str().is_some_and(|n| n.starts_with("café"))),
        20,
        5,
        200,
        1,
    ];
    let mut right = true;
    println!(
        "{:<26} {:>6} {:>9} {:>9} {:>9} {:>8}",
        "query", "status", "features", "expected", "requests", "ms"
    );
    for ((what, target), expected) in QUERIES.iter().zip(expected) {
        let before: u64 = demo.servers.iter().map(FeatureServer::asked).sum();
        let began = std::time::Instant::now();
        let answer = client.get(target)?;
        let took = began.elapsed().as_secs_f64() * 1e3;
        let asked = demo.servers.iter().map(FeatureServer::asked).sum::<u64>() - before;
        let found = if target.contains("f=html") {
            answer.text().matches("<circle").count()
        } else if target.contains("/items/") {
            usize::from(answer.json()["id"] == "d00042")
        } else {
            answer.ids().len()
        };
        let good = answer.status == 200 && found == expected.min(1_000);
        right &= good;
        println!(
            "{what:<26} {:>6} {found:>9} {expected:>9} {asked:>9} {took:>8.1}{}",
            answer.status,
            if good { "" } else { "  WRONG" }
        );
    }
    println!("{}", if right { "all as expected" } else { "something is wrong" });
    Ok(right)
}

/// Prints what to try and waits until it is ended.
pub fn run(demo: &Demo) -> Result<()> {
    let mut ended =
        signal_hook::iterator::Signals::new([signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM])?;
    println!("the edge is at http://{}/", demo.edge.address);
    for (what, target) in QUERIES {
        println!("  {what:<26} curl 'http://{}{target}'", demo.edge.address);
    }
    println!("ends with Ctrl-C");
    // The edge ends with this, by its destructor: a process that is just killed would leave it behind.
    ended.forever().next();
    Ok(())
}
