//! Stand-in feature servers: OGC API - Features from the published standard, with faults by script.
//!
//! A server holds a shard of made-up devices and serves pages of it by `limit` and `offset`. What it says it can filter, it
//! filters by the program's own evaluator; the checks of what comes out do not use that.

use quinceflow::front::ogc::cql2::{self, Matcher};
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What a server can do beside Part 1 Core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Skill {
    /// Nothing: Core alone.
    Core,
    /// Simple filters.
    Basic,
    /// All filters, and orders.
    All,
}

/// What befalls a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    Sound,
    /// 500.
    Error,
    /// 503 with `Retry-After`.
    Busy,
    /// 429: not taken up.
    Full,
    /// No answer; the connection stays open.
    Hang,
    /// Half of the answer, then the connection ends.
    Cut,
    /// 200 with an HTML page.
    Html,
    /// The answer, then the connection ends.
    Close,
    /// The answer's `next` leads to this very page.
    Loop,
    /// The first feature is there twice.
    Double,
    /// The count that it tells is another one each time.
    Fickle,
    /// The page is shorter than was asked for, with a right link.
    Short,
    /// The answer, later.
    Slow,
    /// A page that never ends, a byte now and then.
    Drip,
    /// The connection ends without an answer, as if the process had gone.
    Gone,
}

/// All faults but none.
pub const FAULTS: [Fault; 14] = [
    Fault::Gone,
    Fault::Error,
    Fault::Busy,
    Fault::Full,
    Fault::Hang,
    Fault::Cut,
    Fault::Html,
    Fault::Close,
    Fault::Loop,
    Fault::Double,
    Fault::Fickle,
    Fault::Short,
    Fault::Slow,
    Fault::Drip,
];

/// Chooses what befalls a request, by its number and target.
pub type Script = Box<dyn Fn(u64, &str) -> Fault + Send + Sync>;

/// What bounds what a server does at a time.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests in work at a time; the others wait.
    pub slots: usize,
    /// Work of a request,
    pub base: Duration,
    /// and of each feature in its answer.
    pub each: Duration,
}

struct State {
    features: Vec<Json>,
    texts: Vec<String>,
    skill: Skill,
    script: Mutex<Script>,
    capacity: Mutex<Option<Capacity>>,
    /// Requests in work, and those that wait.
    busy: Mutex<(usize, usize)>,
    free: Condvar,
    asked: AtomicU64,
    bytes: AtomicU64,
    most_busy: AtomicUsize,
    /// What is asked for is logged twice: a planted fault.
    echo: AtomicBool,
    log: Mutex<Vec<(Instant, String, Fault)>>,
}

/// A stand-in server.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

/// Made-up devices with these numbers. What each is follows from its number alone.
pub fn devices(numbers: std::ops::Range<usize>) -> Vec<Json> {
    let kinds = ["meter", "relay", "Wächter", "café sensor"];
    let device = |n: usize| {
        let (x, y) =
            (-121.0 + (n * 7919 % 20_000) as f64 / 10_000.0, 37.0 + (n * 104_729 % 20_000) as f64 / 10_000.0);
        json!({
            "type": "Feature", "id": format!("d{n:05}"),
            "geometry": {"type": "Point", "coordinates": [x, y]},
            "properties": {
                "name": format!("{} {n}", kinds[n % 4]), "volts": 110 + n * 31 % 140, "live": !n.is_multiple_of(3),
                "installed": format!("20{:02}-{:02}-{:02}T00:00:00Z", 10 + n % 15, 1 + n % 12, 1 + n % 28),
                "tags": [format!("t{}", n % 5), format!("z{}", n % 7)],
                "feeder": if n.is_multiple_of(10) { Json::Null } else { json!(format!("F-{}", n % 40)) },
            }
        })
    };
    numbers.map(device).collect()
}

/// What the servers tell of what can be asked.
pub fn queryables() -> Json {
    json!({"$schema": "https://json-schema.org/draft/2020-12/schema", "type": "object", "additionalProperties": false, "properties": {
        "id": {"type": "string"}, "name": {"type": "string"}, "volts": {"type": "number"}, "live": {"type": "boolean"},
        "installed": {"type": "string", "format": "date-time"}, "tags": {"type": "array"}, "feeder": {"type": "string"},
        "geometry": {"format": "geometry-point"}
    }})
}

const CQL2: &str = "http://www.opengis.net/spec/cql2/1.0/conf/";

fn conformance(skill: Skill) -> Json {
    let features = "http://www.opengis.net/spec/ogcapi-features-";
    let mut all = vec![format!("{features}1/1.0/conf/core"), format!("{features}1/1.0/conf/geojson")];
    if skill != Skill::Core {
        let names = ["cql2-text", "basic-cql2", "basic-spatial-functions"];
        all.extend(names.map(|n| format!("{CQL2}{n}")));
        all.extend(["queryables", "filter", "features-filter"].map(|n| format!("{features}3/1.0/conf/{n}")));
    }
    if skill == Skill::All {
        let names = [
            "advanced-comparison-operators",
            "case-insensitive-comparison",
            "accent-insensitive-comparison",
            "basic-spatial-functions-plus",
            "spatial-functions",
            "temporal-functions",
            "array-functions",
            "property-property",
            "arithmetic",
        ];
        all.extend(names.map(|n| format!("{CQL2}{n}")));
        all.push(format!("{features}8/1.0/conf/sorting"));
    }
    json!({"conformsTo": all})
}

impl Server {
    /// Starts a server of these features.
    pub fn start(features: Vec<Json>, skill: Skill) -> std::io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let texts = features.iter().map(Json::to_string).collect();
        let state = Arc::new(State {
            features,
            texts,
            skill,
            script: Mutex::new(Box::new(|_, _| Fault::Sound)),
            capacity: Mutex::default(),
            busy: Mutex::default(),
            free: Condvar::new(),
            asked: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            most_busy: AtomicUsize::new(0),
            echo: AtomicBool::new(false),
            log: Mutex::default(),
        });
        let own = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = own.clone();
                // Small stacks: there may be hundreds.
                let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(move || {
                    let _ = state.serve(stream);
                });
            }
        });
        Ok(Server { address, state })
    }

    /// From now on this befalls requests.
    pub fn script(&self, script: impl Fn(u64, &str) -> Fault + Send + Sync + 'static) {
        *guard(&self.state.script) = Box::new(script);
    }

    /// From now on it bears so much.
    pub fn capacity(&self, capacity: Option<Capacity>) {
        *guard(&self.state.capacity) = capacity;
    }

    /// Requests that came so far.
    pub fn asked(&self) -> u64 {
        self.state.asked.load(Relaxed)
    }

    /// Bytes of bodies that it sent so far.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Relaxed)
    }

    /// Most requests that it had in work or waiting at a time since this was last asked.
    pub fn most_busy(&self) -> usize {
        self.state.most_busy.swap(0, Relaxed)
    }

    /// When which targets were asked for, and what befell them.
    pub fn log(&self) -> Vec<(Instant, String, Fault)> {
        guard(&self.state.log).clone()
    }

    /// From now on each request is seen twice: a planted fault.
    pub fn echo(&self, on: bool) {
        self.state.echo.store(on, Relaxed);
    }

    /// Forgets what was asked for.
    pub fn forget(&self) {
        guard(&self.state.log).clear();
    }

    /// A row of an inventory.
    pub fn row(&self, name: &str, held: &str, state: &str) -> String {
        format!("{name},{},{held},{state}\n", self.address)
    }
}

impl State {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut lines = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        loop {
            let (mut first, mut length) = (String::new(), 0);
            if lines.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                if lines.read_line(&mut line)? == 0 || line == "\r\n" {
                    break;
                }
                if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                    length = n.trim().parse().unwrap_or(0);
                }
            }
            lines.by_ref().take(length).read_to_end(&mut Vec::new())?;
            let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
            let number = self.asked.fetch_add(1, Relaxed);
            let fault = guard(&self.script)(number, &target);
            {
                let mut log = guard(&self.log);
                for _ in 0..1 + usize::from(self.echo.load(Relaxed)) {
                    if log.len() < 1_000_000 {
                        log.push((Instant::now(), target.clone(), fault));
                    }
                }
            }
            if !self.answer(&mut stream, &target, number, fault)? {
                let _ = stream.shutdown(Shutdown::Both);
                return Ok(());
            }
        }
    }

    /// Work takes a slot for its time; the others wait.
    fn work(&self, features: usize) {
        let Some(capacity) = *guard(&self.capacity) else { return };
        let mut busy = guard(&self.busy);
        busy.1 += 1;
        self.most_busy.fetch_max(busy.0 + busy.1, Relaxed);
        while busy.0 >= capacity.slots {
            busy = self.free.wait(busy).unwrap_or_else(|e| e.into_inner());
        }
        *busy = (busy.0 + 1, busy.1 - 1);
        drop(busy);
        std::thread::sleep(capacity.base + capacity.each * features as u32);
        guard(&self.busy).0 -= 1;
        self.free.notify_one();
    }

    /// Answers a request; false: the connection ends.
    fn answer(
        &self,
        stream: &mut TcpStream,
        target: &str,
        number: u64,
        fault: Fault,
    ) -> std::io::Result<bool> {
        let status = |s: u16, more: &str| format!("HTTP/1.1 {s} X\r\n{more}Content-Length: 0\r\n\r\n");
        match fault {
            Fault::Hang => return Ok(true),
            Fault::Gone => return Ok(false),
            Fault::Error => return stream.write_all(status(500, "").as_bytes()).map(|()| true),
            Fault::Busy => {
                return stream.write_all(status(503, "Retry-After: 1\r\n").as_bytes()).map(|()| true)
            }
            Fault::Full => {
                return stream.write_all(status(429, "Retry-After: 1\r\n").as_bytes()).map(|()| true)
            }
            Fault::Slow => std::thread::sleep(Duration::from_millis(60)),
            _ => {}
        }
        let (code, kind, body) = match fault {
            Fault::Html => (200, "text/html", "<html><body>busy</body></html>".to_owned()),
            fault => self.document(target, number, fault),
        };
        self.bytes.fetch_add(body.len() as u64, Relaxed);
        let head = format!("HTTP/1.1 {code} X\r\nContent-Type: {kind}\r\n");
        if fault == Fault::Close {
            stream.write_all(format!("{head}Connection: close\r\n\r\n{body}").as_bytes())?;
            return Ok(false);
        }
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        match fault {
            Fault::Cut => {
                stream.write_all(format!("{head}{}", &body[..body.len() / 2]).as_bytes())?;
                Ok(false)
            }
            Fault::Drip => {
                stream.write_all(head.as_bytes())?;
                for byte in body.as_bytes().iter().take(100) {
                    stream.write_all(&[*byte])?;
                    std::thread::sleep(Duration::from_millis(100));
                }
                Ok(false)
            }
            _ => stream.write_all(format!("{head}{body}").as_bytes()).map(|()| true),
        }
    }

    fn document(&self, target: &str, number: u64, fault: Fault) -> (u16, &'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> =
            url::form_urlencoded::parse(query.as_bytes()).into_owned().collect();
        let words: Vec<&str> = path.split('/').filter(|w| !w.is_empty()).collect();
        const JSON: &str = "application/json";
        match words[..] {
            ["conformance"] => (200, JSON, conformance(self.skill).to_string()),
            ["collections", _, "queryables"] if self.skill != Skill::Core => {
                (200, "application/schema+json", queryables().to_string())
            }
            ["collections", _, "items"] => self.items(path, &query, number, fault),
            ["collections", _, "items", id] => match self.features.iter().position(|f| f["id"] == id) {
                Some(n) => {
                    self.work(1);
                    (200, "application/geo+json", self.texts[n].clone())
                }
                None => (404, JSON, "{}".to_owned()),
            },
            _ => (404, JSON, "{}".to_owned()),
        }
    }

    fn items(
        &self,
        path: &str,
        query: &BTreeMap<String, String>,
        number: u64,
        fault: Fault,
    ) -> (u16, &'static str, String) {
        let bad = |why: &str| (400, "application/json", json!({"why": why}).to_string());
        let number_of = |name: &str| query.get(name).and_then(|n| n.parse::<usize>().ok());
        let mut chosen: Vec<usize> = (0..self.features.len()).collect();
        if let Some(text) = query.get("filter") {
            if self.skill == Skill::Core {
                return bad("no filter is known here");
            }
            let Ok(filter) = cql2::parse_text(text) else { return bad("the filter") };
            let matcher = Matcher::new(filter);
            chosen.retain(|n| matcher.matches(&self.features[*n]));
        }
        if let Some(bbox) = query.get("bbox") {
            let numbers: Vec<f64> = bbox.split(',').filter_map(|n| n.parse().ok()).collect();
            let [w, s, e, n] = numbers[..] else { return bad("the box") };
            chosen.retain(|at| {
                let c = &self.features[*at]["geometry"]["coordinates"];
                let (x, y) = (c[0].as_f64().unwrap_or(0.0), c[1].as_f64().unwrap_or(0.0));
                let across = if w <= e { w <= x && x <= e } else { x >= w || x <= e };
                across && s <= y && y <= n
            });
        }
        if let Some(text) = query.get("datetime") {
            let at = |n: usize| {
                self.features[n]["properties"]["installed"].as_str().unwrap_or_default().to_owned()
            };
            let (from, to) = text.split_once('/').unwrap_or((text, text));
            let open = |t: &str| matches!(t, "" | "..");
            chosen.retain(|n| (open(from) || at(*n).as_str() >= from) && (open(to) || at(*n).as_str() <= to));
        }
        if let Some(keys) = query.get("sortby") {
            if self.skill != Skill::All {
                return bad("no order is known here");
            }
            let key = |n: usize, name: &str| match name {
                "id" => self.features[n]["id"].clone(),
                name => self.features[n]["properties"][name].clone(),
            };
            chosen.sort_by(|a, b| {
                keys.split(',').fold(std::cmp::Ordering::Equal, |order, k| {
                    let (name, down) =
                        k.strip_prefix('-').map_or((k.trim_start_matches(['+', ' ']), false), |n| (n, true));
                    let (a, b) = (key(*a, name), key(*b, name));
                    let found = match (&a, &b) {
                        (Json::Null, Json::Null) => std::cmp::Ordering::Equal,
                        (Json::Null, _) => return order.then(std::cmp::Ordering::Greater),
                        (_, Json::Null) => return order.then(std::cmp::Ordering::Less),
                        (Json::String(a), Json::String(b)) => a.cmp(b),
                        (a, b) => a.as_f64().partial_cmp(&b.as_f64()).unwrap_or(std::cmp::Ordering::Equal),
                    };
                    order.then(if down { found.reverse() } else { found })
                })
            });
        }
        let limit = number_of("limit").unwrap_or(10).clamp(1, 500);
        let limit = if fault == Fault::Short { limit.div_ceil(2) } else { limit };
        let from = number_of("offset").unwrap_or(0).min(chosen.len());
        let to = (from + limit).min(chosen.len());
        self.work(to - from);
        let mut texts: Vec<&str> = chosen[from..to].iter().map(|n| self.texts[*n].as_str()).collect();
        if fault == Fault::Double {
            texts.extend(texts.first().copied());
        }
        let mut next = url::form_urlencoded::Serializer::new(String::new());
        next.extend_pairs(query.iter().filter(|p| p.0 != "offset" && p.0 != "limit"));
        next.append_pair("limit", &query.get("limit").cloned().unwrap_or("10".into()));
        let to = if fault == Fault::Loop { from } else { to };
        if to > 0 {
            next.append_pair("offset", &to.to_string());
        }
        let link = if to < chosen.len() {
            json!([{"rel": "next", "href": format!("{path}?{}", next.finish()), "type": "application/geo+json"}])
        } else {
            json!([])
        };
        let matched = chosen.len() as u64 + if fault == Fault::Fickle { number % 7 + 1 } else { 0 };
        let text = format!(
            "{{\"type\":\"FeatureCollection\",\"numberMatched\":{matched},\"links\":{link},\"features\":[{}]}}",
            texts.join(",\n")
        );
        (200, "application/geo+json", text)
    }
}
