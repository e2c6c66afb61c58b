//! A stand-in for a feature server (OGC API - Features, Part 1): collections of features, pages
//! with `next` links, `bbox`. It declares no filters, and sorting only if it is told to, and answers
//! 400 to parameters that it does not have, as the standard wants.

use super::http;
use super::record::Record;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A feature: its identifier, and its position in degrees. Its voltage is that of all others.
#[derive(Clone)]
pub struct Device {
    /// The identifier; a whole number if it consists of digits.
    pub id: String,
    pub longitude: f64,
    pub latitude: f64,
    /// The server's mark, which tells whose copy a client got.
    pub note: String,
}

impl Device {
    fn json(&self) -> String {
        let Device {
            id,
            longitude,
            latitude,
            note,
        } = self;
        let id = match id.parse::<u32>() {
            Ok(number) => number.to_string(),
            Err(_) => format!("\"{id}\""),
        };
        format!(
            "{{\"type\":\"Feature\",\"id\":{id},\"geometry\":{{\"type\":\"Point\",\
             \"coordinates\":[{longitude},{latitude}]}},\"properties\":{{\"note\":\"{note}\",\"volts\":230}}}}"
        )
    }
}

/// A running stand-in.
#[derive(Clone)]
pub struct FeatureServer {
    pub name: String,
    pub address: SocketAddr,
    collections: Arc<BTreeMap<String, Vec<Device>>>,
    work: Duration,
    /// Whether it declares sorting.
    sorts: bool,
    record: Record,
}

impl FeatureServer {
    /// Starts a server that sorts by `volts` and `id`, both queryables. Its ids are whole numbers,
    /// and it orders them so.
    pub fn start_sorting(
        record: &Record,
        name: &str,
        collections: BTreeMap<String, Vec<Device>>,
        work: Duration,
    ) -> Result<Self, String> {
        Self::start_with(record, name, collections, work, true)
    }

    /// Starts a server with these collections. Each request takes it `work`.
    pub fn start(
        record: &Record,
        name: &str,
        collections: BTreeMap<String, Vec<Device>>,
        work: Duration,
    ) -> Result<Self, String> {
        Self::start_with(record, name, collections, work, false)
    }

    fn start_with(
        record: &Record,
        name: &str,
        collections: BTreeMap<String, Vec<Device>>,
        work: Duration,
        sorts: bool,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let server = FeatureServer {
            name: name.to_owned(),
            address: listener.local_addr().map_err(|e| e.to_string())?,
            collections: Arc::new(collections),
            work,
            sorts,
            record: record.clone(),
        };
        record.note(format!("{name}: feature server at {}", server.address));
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(target) = http::read_target(&mut reader) {
            self.record
                .note(format!("{}: received {target}", self.name));
            std::thread::sleep(self.work);
            let (status, body) = self.answer(&target);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/geo+json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let written = writer.write_all(format!("{head}{body}").as_bytes());
            if written.is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let path = target.split('?').next().unwrap_or_default();
        let segments: Vec<&str> = path.split('/').filter(|s| !s.is_empty()).collect();
        match segments[..] {
            ["conformance"] => (200, self.conformance()),
            ["collections", _, "queryables"] if self.sorts => (
                200,
                "{\"type\":\"object\",\"properties\":{\"id\":{\"type\":\"integer\"},\
                 \"volts\":{\"type\":\"integer\"}},\"additionalProperties\":false}"
                    .to_owned(),
            ),
            ["collections", collection, "items"] => match self.collections.get(collection) {
                Some(devices) => self.page(target, path, devices),
                None => (404, "{}".to_owned()),
            },
            ["collections", collection, "items", id] => {
                let devices = self.collections.get(collection);
                let found = devices.and_then(|list| list.iter().find(|device| device.id == id));
                found.map_or((404, "{}".to_owned()), |device| (200, device.json()))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn conformance(&self) -> String {
        let core = "\"http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core\"";
        let sorting = "\"http://www.opengis.net/spec/ogcapi-features-8/1.0/conf/sorting\"";
        if self.sorts {
            format!("{{\"conformsTo\":[{core},{sorting}]}}")
        } else {
            format!("{{\"conformsTo\":[{core}]}}")
        }
    }

    fn page(&self, target: &str, path: &str, devices: &[Device]) -> (u16, String) {
        for unknown in ["filter", "filter-lang", "sortby"] {
            let known = self.sorts && unknown == "sortby";
            if http::parameter(target, unknown).is_some() && !known {
                return (400, "{}".to_owned());
            }
        }
        let number = |name: &str| http::parameter(target, name)?.parse::<usize>().ok();
        let limit = number("limit").unwrap_or(10).clamp(1, 500);
        let bbox = http::parameter(target, "bbox");
        let sides: Vec<f64> = bbox
            .as_deref()
            .unwrap_or_default()
            .split(',')
            .filter_map(|side| side.parse().ok())
            .collect();
        let inside = |device: &&Device| match sides[..] {
            [west, south, east, north] => {
                (west..=east).contains(&device.longitude)
                    && (south..=north).contains(&device.latitude)
            }
            _ => true,
        };
        let mut selected: Vec<&Device> = devices.iter().filter(inside).collect();
        let sortby = http::parameter(target, "sortby");
        if sortby.is_some() {
            // All have one voltage, so that the id alone decides.
            selected.sort_by_key(|device| device.id.parse::<u32>().unwrap_or(u32::MAX));
        }
        let start = number("offset").unwrap_or(0).min(selected.len());
        let end = (start + limit).min(selected.len());
        let features: Vec<String> = selected[start..end]
            .iter()
            .map(|device| device.json())
            .collect();
        let next = if end < selected.len() {
            let box_text = bbox.map(|b| format!("&bbox={b}")).unwrap_or_default();
            let order = if sortby.is_some() {
                "&sortby=%2Bvolts%2C%2Bid"
            } else {
                ""
            };
            format!("{{\"rel\":\"next\",\"href\":\"{path}?limit={limit}&offset={end}{box_text}{order}\"}}")
        } else {
            String::new()
        };
        (
            200,
            format!(
                "{{\"type\":\"FeatureCollection\",\"numberMatched\":{},\"links\":[{next}],\"features\":[{}]}}",
                selected.len(),
                features.join(",")
            ),
        )
    }
}

/// Returns `count` devices named `prefix-N` on a grid around 120 W, 38 N.
pub fn devices(prefix: &str, count: usize, note: &str) -> Vec<Device> {
    (0..count)
        .map(|index| Device {
            id: format!("{prefix}-{index}"),
            longitude: -120.3 + 0.6 * ((index % 25) as f64 / 25.0),
            latitude: 37.7 + 0.6 * ((index / 25) as f64 / 25.0).fract(),
            note: note.to_owned(),
        })
        .collect()
}
