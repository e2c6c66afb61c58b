//! A service with a planted fault: it passes requests on to a sound one and spoils the answers, so that the checks of the
//! conformance suite can be shown to fail.

use crate::client::{Client, Response};
use serde_json::{json, Value as Json};
use std::io::{BufRead, BufReader, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request as it came.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its headers, as lines.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl ForwardedRequest {
    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    fn has(&self, text: &str) -> bool {
        self.target.contains(text)
    }
}

/// What spoils: the request before it goes on, and the answer before it goes back.
pub struct Fault {
    /// The check that is meant to find it.
    pub found_by: &'static str,
    /// What is wrong.
    pub what: &'static str,
    ask: fn(&mut ForwardedRequest),
    answer: fn(&ForwardedRequest, &mut Response),
}

/// A service that passes on and spoils.
pub struct FaultInjector {
    /// Where it listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<Option<&'static Fault>>>,
}

impl FaultInjector {
    /// In front of this service.
    pub fn start(behind: SocketAddr) -> Result<FaultInjector> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let fault: Arc<Mutex<Option<&'static Fault>>> = Arc::default();
        let shared = fault.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fault = shared.clone();
                std::thread::spawn(move || serve(stream, behind, &fault));
            }
        });
        Ok(FaultInjector { address, fault })
    }

    /// From now on this fault, or none.
    pub fn plant(&self, fault: Option<&'static Fault>) {
        *self.fault.lock().unwrap_or_else(|e| e.into_inner()) = fault;
    }
}

fn serve(mut stream: TcpStream, behind: SocketAddr, fault: &Mutex<Option<&'static Fault>>) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut lines = BufReader::new(stream.try_clone()?);
    let mut client = Client::new(behind);
    loop {
        let mut first = String::new();
        if lines.read_line(&mut first)? == 0 {
            return Ok(());
        }
        let mut words = first.split_whitespace().map(str::to_owned);
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (mut headers, mut length) = (Vec::new(), 0);
        loop {
            let mut line = String::new();
            lines.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(": ") else { break };
            match name.to_ascii_lowercase().as_str() {
                "content-length" => length = value.parse().unwrap_or(0),
                // Links must lead back here.
                "host" | "connection" => headers.push(("Host".to_owned(), value.to_owned())),
                _ => headers.push((name.to_owned(), value.to_owned())),
            }
        }
        let mut body = Vec::new();
        lines.by_ref().take(length).read_to_end(&mut body)?;
        let mut asked = ForwardedRequest { method, target, headers, body };
        let fault = *fault.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(fault) = fault {
            (fault.ask)(&mut asked);
        }
        let packed = asked.headers.iter().any(|h| h.0.eq_ignore_ascii_case("accept-encoding"));
        let own: Vec<(&str, &str)> =
            asked.headers.iter().filter(|h| h.0 != "Host").map(|h| (h.0.as_str(), h.1.as_str())).collect();
        let mut answer = client.ask(&asked.method, &asked.target, &own, &asked.body)?;
        let text = answer.text().replace(&behind.to_string(), &stream.local_addr()?.to_string());
        answer.body = text.into_bytes();
        if let Some(fault) = fault {
            (fault.answer)(&asked, &mut answer);
        }
        let mut body = answer.body.clone();
        if packed && answer.header("content-encoding") == "gzip" {
            let mut small = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::fast());
            small.write_all(&body)?;
            body = small.finish()?;
        }
        let mut head = format!("HTTP/1.1 {} X\r\n", answer.status);
        for (name, value) in answer
            .headers
            .iter()
            .filter(|h| !matches!(h.0.as_str(), "content-length" | "connection" | "transfer-encoding"))
        {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        if asked.method == "HEAD" && fault.is_none_or(|f| f.found_by != "/conf/core/http") {
            body.clear();
        }
        stream.write_all(&[head.as_bytes(), &body].concat())?;
    }
}

fn edit(answer: &mut Response, change: impl FnOnce(&mut Json)) {
    if let Ok(mut json) = serde_json::from_slice::<Json>(&answer.body) {
        change(&mut json);
        answer.body = json.to_string().into_bytes();
    }
}

fn without(answer: &mut Response, rel: &str) {
    edit(answer, |j| {
        if let Some(links) = j["links"].as_array_mut() {
            links.retain(|l| l["rel"] != rel);
        }
    });
}

fn features(answer: &mut Response, change: impl FnOnce(&mut Vec<Json>)) {
    edit(answer, |j| {
        if let Some(list) = j["features"].as_array_mut() {
            change(list);
        }
    });
}

fn nothing(_: &mut ForwardedRequest) {}

fn as_is(_: &ForwardedRequest, _: &mut Response) {}

fn cut(asked: &mut ForwardedRequest, name: &str) {
    let (path, query) =
        asked.target.split_once('?').map_or((asked.target.clone(), ""), |(p, q)| (p.to_owned(), q));
    let kept: Vec<&str> =
        query.split('&').filter(|p| !p.is_empty() && p.split('=').next() != Some(name)).collect();
    asked.target = if kept.is_empty() { path } else { format!("{path}?{}", kept.join("&")) };
}

macro_rules! faults {
    ($($found_by:literal $what:literal ask $ask:expr, answer $answer:expr;)*) => {
        /// All planted faults.
        pub const FAULTS: &[Fault] = &[$(Fault { found_by: $found_by, what: $what, ask: $ask, answer: $answer }),*];
    };
}

faults! {
    "/conf/core/root-success" "the landing page has no link to the conformance page"
        ask nothing, answer |a, r| if a.path() == "/" { without(r, "conformance") };
    "/conf/core/api-definition-success" "the API is of no version"
        ask nothing, answer |a, r| if a.path() == "/api" { edit(r, |j| j["openapi"] = Json::Null) };
    "/conf/core/conformance-success" "Core is not claimed"
        ask nothing, answer |a, r| if a.path() == "/conformance" { edit(r, |j| j["conformsTo"] = json!(["http://x/other"])) };
    "/conf/core/fc-md-links" "a link of the collections has no type"
        ask nothing, answer |a, r| if a.path() == "/collections" { edit(r, |j| j["links"][0]["type"] = Json::Null) };
    "/conf/core/fc-md-items-links" "a collection has no link to its items"
        ask nothing, answer |a, r| if a.path() == "/collections" { edit(r, |j| without_items(&mut j["collections"][0])) };
    "/conf/core/sfc-md-success" "a collection is titled otherwise by itself"
        ask nothing, answer |a, r| if a.path() == "/collections/devices" { edit(r, |j| j["title"] = "other".into()) };
    "/conf/core/sfc-md-unknown" "a collection that is none is there"
        ask nothing, answer |a, r| if a.has("no-such-collection") { r.status = 200 };
    "/conf/core/fc-response" "features have no type"
        ask nothing, answer |_, r| features(r, |l| l.iter_mut().for_each(|f| f["type"] = Json::Null));
    "/conf/core/fc-limit-definition" "limit is defined without its most"
        ask nothing, answer |a, r| if a.path() == "/api" { edit(r, |j| *parameter(j, "limit") = json!({"type": "integer", "minimum": 1})) };
    "/conf/core/fc-limit-response" "one feature more than the limit"
        ask nothing, answer |_, r| features(r, |l| l.extend(l.first().cloned()));
    "/conf/core/fc-bbox-response" "the box is passed over"
        ask |a| cut(a, "bbox"), answer as_is;
    "/conf/core/fc-time-response" "the time is passed over"
        ask |a| cut(a, "datetime"), answer as_is;
    "/conf/core/query-param-unknown" "a parameter that is not known is passed over"
        ask |a| cut(a, "no-such-parameter"), answer as_is;
    "/conf/core/query-param-invalid" "a limit of none is taken"
        ask |a| if a.has("limit=0") { cut(a, "limit") }, answer as_is;
    "/conf/core/fc-links" "there is no next link"
        ask nothing, answer |a, r| if a.has("limit=2") { without(r, "next") };
    "/conf/core/fc-next-complete" "a feature of each page is lost"
        ask nothing, answer |a, r| if a.has("limit=97") { features(r, |l| { l.pop(); }) };
    "/conf/core/fc-timeStamp" "the time stamp is none"
        ask nothing, answer |_, r| edit(r, |j| j["timeStamp"] = "today".into());
    "/conf/core/fc-numberMatched" "one more is said to match"
        ask nothing, answer |_, r| edit(r, |j| if let Some(n) = j["numberMatched"].as_u64() { j["numberMatched"] = (n + 1).into() });
    "/conf/core/fc-numberReturned" "one more is said to be returned"
        ask nothing, answer |_, r| edit(r, |j| j["numberReturned"] = json!(j["numberReturned"].as_u64().unwrap_or(0) + 1));
    "/conf/core/f-success" "another feature comes for an id"
        ask nothing, answer |a, r| if a.has("/items/") { edit(r, |j| j["id"] = "other".into()) };
    "/conf/core/f-links" "a feature has no link to its collection"
        ask nothing, answer |a, r| if a.has("/items/") { without(r, "collection") };
    "/conf/core/f-unknown" "a feature that is none is there"
        ask nothing, answer |a, r| if a.has("no-such-feature") { r.status = 200 };
    "/conf/core/http" "HEAD has a body"
        ask |a| if a.method == "HEAD" { a.method = "GET".to_owned() }, answer as_is;
    "/conf/core/cache" "what is known is sent again"
        ask |a| a.headers.retain(|h| !h.0.eq_ignore_ascii_case("if-none-match")), answer as_is;
    "/conf/core/problem" "an error is plain text"
        ask nothing, answer |_, r| if r.status >= 400 { r.headers.insert("content-type".to_owned(), "text/plain".to_owned()); };
    "/conf/geojson/definition" "features come as plain JSON"
        ask nothing, answer |_, r| if r.header("content-type") == "application/geo+json" { r.headers.insert("content-type".to_owned(), "application/json".to_owned()); };
    "/conf/geojson/content" "a geometry is of no kind"
        ask nothing, answer |_, r| features(r, |l| if let Some(f) = l.first_mut() { f["geometry"]["type"] = "Spot".into() });
    "/conf/html/definition" "HTML is not served"
        ask |a| a.headers.retain(|h| !h.0.eq_ignore_ascii_case("accept")), answer as_is;
    "/conf/html/content" "features are not drawn"
        ask nothing, answer |_, r| if r.header("content-type").starts_with("text/html") { r.body = r.text().replace("<circle", "<x").into_bytes() };
    "/conf/oas30/completeness" "the API lacks the items"
        ask nothing, answer |a, r| if a.path() == "/api" { edit(r, |j| j["paths"]["/collections/{collectionId}/items"] = Json::Null) };
    "/conf/crs/fc-md-crs-list" "CRS84 is not listed"
        ask nothing, answer |a, r| if a.path() == "/collections/devices" { edit(r, |j| j["crs"] = json!(["http://www.opengis.net/def/crs/EPSG/0/4326"])) };
    "/conf/crs/fc-md-storageCrs-valid-value" "the stored system is not listed"
        ask nothing, answer |a, r| if a.path() == "/collections/devices" { edit(r, |j| j["storageCrs"] = "http://www.opengis.net/def/crs/EPSG/0/1".into()) };
    "/conf/crs/fc-crs-valid-value" "a system that is none is taken"
        ask |a| if a.has("EPSG/0/1") { cut(a, "crs") }, answer as_is;
    "/conf/crs/fc-crs-action" "latitude and longitude are the wrong way round"
        ask nothing, answer |a, r| if a.has("EPSG/0/4326") && !a.has("bbox") { features(r, |l| l.iter_mut().for_each(turn)) };
    "/conf/crs/bbox-crs-action" "the box's system is passed over"
        ask |a| cut(a, "bbox-crs"), answer as_is;
    "/conf/crs/ogc-crs-header-value" "the header names another system"
        ask nothing, answer |_, r| { r.headers.insert("content-crs".to_owned(), "<http://www.opengis.net/def/crs/EPSG/0/3857>".to_owned()); };
    "/conf/schemas/properties" "a property is not in the schema"
        ask nothing, answer |a, r| if a.path().ends_with("/schema") { edit(r, |j| { if let Some(p) = j["properties"].as_object_mut() { p.remove("volts"); } }) };
    "/conf/sorting/sortby" "two features are the wrong way round"
        ask nothing, answer |a, r| if a.has("sortby") { features(r, |l| l.reverse()) };
    "/conf/sorting/sortby-ties" "features that stand alike are lost between pages"
        ask nothing, answer |a, r| if a.has("sortby") { features(r, |l| { l.pop(); }) };
    "/conf/property-selection/properties" "all properties come"
        ask |a| cut(a, "properties"), answer as_is;
    "/req/queryables/get-queryables-response" "the queryables have no $id"
        ask nothing, answer |a, r| if a.path().ends_with("/queryables") { edit(r, |j| j["$id"] = Json::Null) };
    "/req/filter/filter-param" "the filter is passed over"
        ask |a| cut(a, "filter"), answer as_is;
    "/req/filter/filter-lang-param" "any language is taken"
        ask |a| if a.has("no-such-language") { cut(a, "filter-lang"); cut(a, "filter") }, answer as_is;
    "/req/filter/filter-crs-param" "the filter's system is passed over"
        ask |a| cut(a, "filter-crs"), answer as_is;
    "/req/features-filter/queryable-unknown" "a name that is none is taken"
        ask |a| if a.has("no_such_queryable") { cut(a, "filter") }, answer as_is;
    "/req/basic-cql2/cql2-filter" "less or equal is taken for less"
        ask |a| a.target = a.target.replace("+%3C%3D+", "+%3C+"), answer as_is;
    "/req/basic-cql2/is-null" "what has no value passes its negation"
        ask |a| a.target = a.target.replace("NOT+%28feeder+%3D+%27no+such+value%27%29", "TRUE"), answer as_is;
    "/req/advanced-comparison-operators/between-predicate" "an end of a span is left out"
        ask |a| a.target = a.target.replace("volts+BETWEEN", "volts+%2B+1+BETWEEN"), answer as_is;
    "/req/case-insensitive-comparison/casei-function" "case is not passed over"
        ask |a| a.target = a.target.replace("CASEI", ""), answer as_is;
    "/req/spatial-functions/spatial-predicates" "within is taken for disjoint"
        ask |a| a.target = a.target.replace("S_WITHIN", "S_DISJOINT"), answer as_is;
    "/req/temporal-functions/temporal-predicates" "after is taken for before"
        ask |a| a.target = a.target.replace("T_AFTER", "T_BEFORE"), answer as_is;
    "/req/array-functions/array-predicates" "contains is taken for overlaps"
        ask |a| a.target = a.target.replace("A_EQUALS", "A_OVERLAPS"), answer as_is;
    "/req/arithmetic/arithmetic" "a product is taken for a sum"
        ask |a| a.target = a.target.replace("+*+", "+%2B+"), answer as_is;
    "/req/search/post" "the area of a search is passed over"
        ask |a| if a.target == "/search" { a.body = json!({"collections": ["devices"], "limit": 500}).to_string().into_bytes() }, answer as_is;
}

fn without_items(collection: &mut Json) {
    if let Some(links) = collection["links"].as_array_mut() {
        links.retain(|l| l["rel"] != "items");
    }
}

fn turn(feature: &mut Json) {
    if let Some(c) = feature["geometry"]["coordinates"].as_array_mut() {
        c.reverse();
    }
}

/// The schema of a parameter of the items.
fn parameter<'j>(api: &'j mut Json, name: &str) -> &'j mut Json {
    let list = &mut api["paths"]["/collections/{collectionId}/items"]["get"]["parameters"];
    let at = list.as_array().and_then(|l| l.iter().position(|p| p["name"] == name)).unwrap_or(0);
    &mut list[at]["schema"]
}
