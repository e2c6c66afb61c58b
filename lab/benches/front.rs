//! Micro-benchmarks of the front for feature queries: parsing, splitting, merging, rendering.
//! `cargo bench -p quinceflow-testkit`

use divan::Bencher;
use quinceflow::coordinator::{Answer, AttemptEnd, ServedPart, Token};
use quinceflow::front::ogc::config::Edge;
use quinceflow::front::ogc::cql2::{read_json, read_text, split, to_json, Able, Matcher, Queryables};
use quinceflow::front::ogc::cursor::Key;
use quinceflow::front::ogc::paging::Place;
use quinceflow::front::ogc::ranking::{By, Ranked, Ranking};
use quinceflow::front::ogc::visit::{read_page, Visit};
use quinceflow::front::ogc::{lock, Ogc, SharedCatalog};
use quinceflow::front::{Front, Reaction};
use quinceflow::proto::fetch::FetchedResponse;
use quinceflow::proto::http::ServerConnection;
use quinceflow::time::Micros;
use quinceflow_testkit::feature_server::devices;
use std::sync::Arc;

fn main() {
    divan::main();
}

const FILTER: &str = "volts > 120 AND CASEI(name) LIKE 'meter%' AND S_INTERSECTS(geometry,POLYGON((-121 37,-120 37,-121 38,-121 37)))";

fn area(points: usize) -> String {
    let ring: Vec<String> = (0..=points)
        .map(|n| {
            let angle = (n % points) as f64 / points as f64 * std::f64::consts::TAU;
            format!("{} {}", -120.0 + angle.cos(), 38.0 + angle.sin())
        })
        .collect();
    format!("S_INTERSECTS(geometry,POLYGON(({})))", ring.join(","))
}

fn body(count: usize) -> Vec<u8> {
    let texts: Vec<String> = devices(0..count).iter().map(ToString::to_string).collect();
    format!(
        "{{\"type\":\"FeatureCollection\",\"numberMatched\":{count},\"links\":[],\"features\":[{}]}}",
        texts.join(",")
    )
    .into_bytes()
}

#[divan::bench]
fn parse_filter_text(bencher: Bencher) {
    bencher.bench(|| read_text(divan::black_box(FILTER)));
}

#[divan::bench(args = [100, 10_000])]
fn parse_area_text(bencher: Bencher, points: usize) {
    let text = area(points);
    bencher.bench(|| read_text(divan::black_box(&text)));
}

#[divan::bench(args = [100, 10_000])]
fn parse_area_json(bencher: Bencher, points: usize) {
    let text = to_json(&read_text(&area(points)).expect("a filter")).to_string();
    bencher.bench(|| read_json(divan::black_box(&text)));
}

#[divan::bench]
fn split_filter(bencher: Bencher) {
    let filter = read_text(FILTER).expect("a filter");
    let classes = ["cql2-text", "features-filter", "basic-cql2"].map(str::to_owned).into();
    let able = Able { classes, queryables: Queryables::unknown(), most_text: 2_000 };
    bencher.bench(|| split(divan::black_box(&filter), &able));
}

#[divan::bench(args = [4, 10_000])]
fn evaluate_on_500_features(bencher: Bencher, points: usize) {
    let matcher = Matcher::new(read_text(&area(points)).expect("a filter"));
    let texts: Vec<Vec<u8>> = devices(0..500).iter().map(|f| f.to_string().into_bytes()).collect();
    bencher.bench(|| texts.iter().filter(|t| matcher.matches_text(t)).count());
}

#[divan::bench]
fn read_page_of_500(bencher: Bencher) {
    let body = body(500);
    bencher
        .with_inputs(|| body.clone())
        .bench_values(|body| read_page(body, "127.0.0.1:9", "/c/items", None));
}

#[divan::bench(args = [2, 16])]
fn merge_500_from_shards(bencher: Bencher, shards: usize) {
    let pages: Vec<_> =
        (0..shards).map(|_| Arc::new(read_page(body(500), "a:1", "/c", None).expect("a page"))).collect();
    bencher.bench(|| {
        let by = vec![By { name: "volts".to_owned(), descending: true }];
        let mut ranking = Ranking::new(by, 500, 500, 100, 1.0, None, &vec![false; shards]);
        loop {
            let asks = ranking.asks();
            assert!(asks.iter().all(|a| a.place == Place::Start));
            let came = asks.iter().map(|a| (a.shard, a.size, Some(pages[a.shard].clone()))).collect();
            if ranking.take(came) == Ranked::Done {
                return ranking.page().given;
            }
        }
    });
}

/// From a request's bytes to its answer's, the servers' pages of 500 included: what a query costs the worker.
#[divan::bench(args = ["limit=500", "limit=500&f=html", "limit=500&crs=EPSG:3857", "limit=500&properties=volts"])]
fn answer_of_500(bencher: Bencher, query: &str) {
    let edge =
        Edge::read_file(std::path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/edge.toml")))
            .expect("sound");
    let catalog = SharedCatalog::default();
    lock(&catalog).load(&edge.servers().expect("sound"), Micros::ZERO);
    let front = Ogc::new(edge, catalog, Key::new(b"k"), Arc::default(), Arc::default());
    let body = body(500);
    bencher.bench(|| {
        let mut server = ServerConnection::default();
        server
            .input()
            .extend(format!("GET /collections/devices/items?{query} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
        let request = server.next_request().expect("whole").expect("well formed");
        let mut reaction = front.handle(request, Token(1), Micros::ZERO, true);
        loop {
            match reaction {
                Reaction::Respond(response) => {
                    assert_eq!(response.status, 200);
                    return response.body.len();
                }
                Reaction::Submit(request, render) => {
                    let parts = request.parts.iter().map(|part| {
                        let visit = part.context.as_ref().and_then(|e| e.get::<Visit>()).expect("a visit");
                        let fetched =
                            FetchedResponse { status: 200, headers: Default::default(), body: body.clone() };
                        match visit.judge("127.0.0.1:9101", "127.0.0.1:9101", fetched) {
                            AttemptEnd::Served(value) => ServedPart { shard: part.shard, value },
                            AttemptEnd::Failed(outcome) => panic!("{outcome:?}"),
                        }
                    });
                    let parts = parts.collect();
                    reaction = render(Answer::Served { complete: true, parts });
                }
            }
        }
    });
}
