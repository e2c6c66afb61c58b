//! Demonstration of the feature front with stand-in servers, for manual use or one automatic check.

use crate::client::{Client, Response};
use crate::error::RunError;
use crate::feature_server::{devices, Capabilities, FeatureServer, InventoryEntry, InventoryState};
use crate::process::{Configuration, FeatureFrontProcess, CLASSES};
use serde_json::Value as Json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::Path;
use std::time::Instant;

/// Number of features of each of the two shards.
const FEATURES_PER_SHARD: usize = 2_000;
/// Maximum number of features of one answer, by the `limit` of the examples.
const MAX_EXAMPLE_FEATURES: usize = 1_000;
/// Tolerance for points on the hypotenuse of the triangle, in degrees.
const HYPOTENUSE_TOLERANCE: f64 = 1e-12;

/// Settings of the collection.
const COLLECTION: &str = "
[[collection]]
id = \"devices\"
title = \"Customer devices\"
description = \"Made-up devices of two districts\"
bbox = [-121.0, 37.0, -119.0, 39.0]
";

/// Running program with four feature servers, two for each of two shards. The capabilities of the
/// servers differ.
pub struct Demo {
    process: FeatureFrontProcess,
    servers: Vec<FeatureServer>,
}

/// Example query.
struct Example {
    description: &'static str,
    target: &'static str,
    expected: ExpectedCount,
}

/// Expected number of features of an answer.
enum ExpectedCount {
    /// Fixed number.
    Exactly(usize),
    /// Number of devices that satisfy a predicate.
    Matching(fn(&Json) -> bool),
}

impl ExpectedCount {
    fn count_among(&self, devices: &[Json]) -> usize {
        match self {
            ExpectedCount::Exactly(count) => *count,
            ExpectedCount::Matching(matches) => {
                devices.iter().filter(|device| matches(device)).count()
            }
        }
    }
}

const EXAMPLES: [Example; 9] = [
    Example {
        description: "all devices, a page",
        target: "/collections/devices/items?limit=100",
        expected: ExpectedCount::Exactly(100),
    },
    Example {
        description: "in a bounding box",
        target: "/collections/devices/items?bbox=-120.5,37.5,-119.5,38.5&limit=1000",
        expected: ExpectedCount::Matching(is_in_box),
    },
    Example {
        description: "in a polygon",
        target: "/collections/devices/items?limit=1000&filter=S_INTERSECTS(\
                 geometry,POLYGON((-121%2037,-120%2037,-121%2038,-121%2037)))",
        expected: ExpectedCount::Matching(is_in_triangle),
    },
    Example {
        description: "by voltage",
        target: "/collections/devices/items?limit=1000\
                 &filter=volts%20%3E%20230%20AND%20live%20%3D%20TRUE",
        expected: ExpectedCount::Matching(is_live_above_230_volts),
    },
    Example {
        description: "by name, ignoring accents",
        target: "/collections/devices/items?limit=1000\
                 &filter=ACCENTI(name)%20LIKE%20%27cafe%25%27",
        expected: ExpectedCount::Matching(is_cafe_device),
    },
    Example {
        description: "highest voltage first",
        target: "/collections/devices/items?limit=20&sortby=-volts",
        expected: ExpectedCount::Exactly(20),
    },
    Example {
        description: "in Web Mercator",
        target: "/collections/devices/items?limit=5&crs=http://www.opengis.net/def/crs/EPSG/0/3857",
        expected: ExpectedCount::Exactly(5),
    },
    Example {
        description: "HTML with a map",
        target: "/collections/devices/items?limit=200&f=html",
        expected: ExpectedCount::Exactly(200),
    },
    Example {
        description: "one device",
        target: "/collections/devices/items/d00042",
        expected: ExpectedCount::Exactly(1),
    },
];

fn is_in_box(device: &Json) -> bool {
    let Point {
        longitude,
        latitude,
    } = point_of(device);
    (-120.5..=-119.5).contains(&longitude) && (37.5..=38.5).contains(&latitude)
}

fn is_in_triangle(device: &Json) -> bool {
    let Point {
        longitude,
        latitude,
    } = point_of(device);
    (longitude + 121.0) + (latitude - 37.0) <= 1.0 + HYPOTENUSE_TOLERANCE
}

fn is_live_above_230_volts(device: &Json) -> bool {
    let properties = &device["properties"];
    properties["volts"].as_f64() > Some(230.0) && properties["live"] == true
}

fn is_cafe_device(device: &Json) -> bool {
    let name = device["properties"]["name"].as_str();
    name.is_some_and(|name| name.starts_with("café"))
}

impl Demo {
    /// Starts the feature servers, and the program with the servers in its inventory.
    ///
    /// # Errors
    /// Returns an error if a server or the program can't be started.
    pub fn start(program: &Path) -> Result<Demo, RunError> {
        let start_server = |from: usize, capabilities| {
            FeatureServer::start(devices(from..from + FEATURES_PER_SHARD), capabilities)
        };
        let servers = vec![
            start_server(0, Capabilities::FiltersAndSorting)?,
            start_server(0, Capabilities::FiltersAndSorting)?,
            start_server(FEATURES_PER_SHARD, Capabilities::SimpleFilters)?,
            start_server(FEATURES_PER_SHARD, Capabilities::Core)?,
        ];
        let shards = [
            "devices/north",
            "devices/north",
            "devices/south",
            "devices/south",
        ];
        let format_row = |(index, (server, shard)): (usize, (&FeatureServer, &str))| {
            let name = format!("features-{}", index + 1);
            let state = InventoryState::InService;
            server.inventory_row(InventoryEntry {
                name: &name,
                collections: shard,
                state,
            })
        };
        let rows: String = servers
            .iter()
            .zip(shards)
            .enumerate()
            .map(format_row)
            .collect();
        let tables = format!("{CLASSES}{COLLECTION}");
        let configuration = Configuration {
            settings: "mgmt = \"127.0.0.1:0\"",
            inventory_rows: &rows,
            tables: &tables,
        };
        let process = FeatureFrontProcess::start(program, &configuration)?;
        Ok(Demo { process, servers })
    }

    /// Sends the examples, checks the answers and prints a table. Returns whether all answers were
    /// as expected.
    ///
    /// # Errors
    /// Returns an error if an example gets no response.
    pub fn check_once(&self) -> Result<bool, RunError> {
        let mut client = Client::new(self.process.address);
        let all_devices = devices(0..2 * FEATURES_PER_SHARD);
        println!(
            "{:<26} {:>6} {:>9} {:>9} {:>9} {:>8}",
            "query", "status", "features", "expected", "requests", "ms"
        );
        let mut all_as_expected = true;
        for example in &EXAMPLES {
            all_as_expected &= self.check(
                &mut client,
                example,
                example.expected.count_among(&all_devices),
            )?;
        }
        println!(
            "{}",
            if all_as_expected {
                "all as expected"
            } else {
                "some answers are not as expected"
            }
        );
        Ok(all_as_expected)
    }

    fn check(
        &self,
        client: &mut Client,
        example: &Example,
        expected: usize,
    ) -> Result<bool, RunError> {
        let requests_before = self.server_requests();
        let started = Instant::now();
        let response = client.get(example.target)?;
        let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
        let requests = self.server_requests() - requests_before;
        let found = count_found(example, &response);
        let as_expected = response.status == 200 && found == expected.min(MAX_EXAMPLE_FEATURES);
        println!(
            "{:<26} {:>6} {found:>9} {expected:>9} {requests:>9} {elapsed_ms:>8.1}{}",
            example.description,
            response.status,
            if as_expected { "" } else { "  UNEXPECTED" }
        );
        Ok(as_expected)
    }

    fn server_requests(&self) -> u64 {
        self.servers.iter().map(FeatureServer::request_count).sum()
    }

    /// Prints the examples as `curl` commands and waits for SIGINT or SIGTERM.
    ///
    /// # Errors
    /// Returns an error if the signal handler can't be set.
    pub fn wait_for_signal(&self) -> Result<(), RunError> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let address = self.process.address;
        println!("the front listens at http://{address}/");
        for Example {
            description,
            target,
            ..
        } in &EXAMPLES
        {
            println!("  {description:<26} curl 'http://{address}{target}'");
        }
        println!("ends with Ctrl-C");
        // The signal is handled so that the destructor runs, which kills the program's process.
        signals.forever().next();
        Ok(())
    }
}

/// Location of a device, in degrees.
struct Point {
    longitude: f64,
    latitude: f64,
}

fn point_of(device: &Json) -> Point {
    let coordinates = &device["geometry"]["coordinates"];
    Point {
        longitude: coordinates[0].as_f64().unwrap_or(0.0),
        latitude: coordinates[1].as_f64().unwrap_or(0.0),
    }
}

/// Counts the features of the response to an example.
fn count_found(example: &Example, response: &Response) -> usize {
    if example.target.contains("f=html") {
        response.text().matches("<circle").count()
    } else if example.target.contains("/items/") {
        usize::from(response.json()["id"] == "d00042")
    } else {
        response.ids().len()
    }
}
