//! Micro-benchmarks of the feature front: parsing and splitting of filters, merging and rendering
//! of pages. They are run by `cargo bench -p quinceflow-testkit --bench front`.

use divan::Bencher;
use quinceflow::coordinator::{Answer, AttemptEnd, PartRequest, ServedPart, Token};
use quinceflow::front::ogc::config::EdgeConfig;
use quinceflow::front::ogc::cql2::{
    parse_json, parse_text, split, to_json, Capabilities, Matcher, Queryables,
};
use quinceflow::front::ogc::cursor::CursorKey;
use quinceflow::front::ogc::page_request::{parse_page, PageRequest};
use quinceflow::front::ogc::paging::{
    AgreedColumns, MergeProgress, PageFetch, PageLocation, SortKey, SortedMerge, SortedQuery,
};
use quinceflow::front::ogc::{FrontDependencies, OgcFront, SharedCatalog};
use quinceflow::front::{Front, Reaction};
use quinceflow::proto::fetch::FetchedResponse;
use quinceflow::proto::http::{HttpRequest, ServerConnection};
use quinceflow::sync::lock;
use quinceflow::time::Micros;
use quinceflow_testkit::feature_server::devices;
use std::path::Path;
use std::sync::Arc;

fn main() {
    divan::main();
}

/// Filter with a comparison, a case-insensitive pattern and an area.
const FILTER: &str = "volts > 120 AND CASEI(name) LIKE 'meter%' AND \
                      S_INTERSECTS(geometry,POLYGON((-121 37,-120 37,-121 38,-121 37)))";

/// Returns the text of a filter for the features in a polygon with this many vertices.
fn polygon_filter(points: usize) -> String {
    let ring: Vec<String> = (0..=points)
        .map(|point| {
            let angle = (point % points) as f64 / points as f64 * std::f64::consts::TAU;
            format!("{} {}", -120.0 + angle.cos(), 38.0 + angle.sin())
        })
        .collect();
    format!("S_INTERSECTS(geometry,POLYGON(({})))", ring.join(","))
}

/// Returns the body of a page with this many features.
fn page_body(count: usize) -> Vec<u8> {
    let texts: Vec<String> = devices(0..count).iter().map(ToString::to_string).collect();
    let features = texts.join(",");
    format!(
        "{{\"type\":\"FeatureCollection\",\"numberMatched\":{count},\"links\":[],\
         \"features\":[{features}]}}"
    )
    .into_bytes()
}

#[divan::bench]
fn parse_filter_text(bencher: Bencher) {
    bencher.bench(|| parse_text(divan::black_box(FILTER)));
}

#[divan::bench(args = [100, 10_000])]
fn parse_area_text(bencher: Bencher, points: usize) {
    let text = polygon_filter(points);
    bencher.bench(|| parse_text(divan::black_box(&text)));
}

#[divan::bench(args = [100, 10_000])]
fn parse_area_json(bencher: Bencher, points: usize) {
    let text =
        to_json(&parse_text(&polygon_filter(points)).expect("the filter is valid")).to_string();
    bencher.bench(|| parse_json(divan::black_box(&text)));
}

#[divan::bench]
fn split_filter(bencher: Bencher) {
    let filter = parse_text(FILTER).expect("the filter is valid");
    let classes = ["cql2-text", "features-filter", "basic-cql2"]
        .map(str::to_owned)
        .into();
    let capabilities = Capabilities {
        classes,
        queryables: Queryables::unknown(),
        max_filter_text: 2_000,
    };
    bencher.bench(|| split(divan::black_box(&filter), &capabilities));
}

#[divan::bench(args = [4, 10_000])]
fn evaluate_on_500_features(bencher: Bencher, points: usize) {
    let matcher = Matcher::new(parse_text(&polygon_filter(points)).expect("the filter is valid"));
    let texts: Vec<Vec<u8>> = devices(0..500)
        .iter()
        .map(|feature| feature.to_string().into_bytes())
        .collect();
    bencher.bench(|| texts.iter().filter(|t| matcher.matches_text(t)).count());
}

#[divan::bench]
fn read_page_of_500(bencher: Bencher) {
    let body = page_body(500);
    bencher
        .with_inputs(|| body.clone())
        .bench_values(|body| parse_page(body, "127.0.0.1:9", "/c/items", None));
}

#[divan::bench(args = [2, 16])]
fn merge_500_from_shards(bencher: Bencher, shards: usize) {
    let pages: Vec<_> = (0..shards)
        .map(|_| Arc::new(parse_page(page_body(500), "a:1", "/c", None).expect("page is valid")))
        .collect();
    bencher.bench(|| {
        let keys = vec![SortKey {
            property: "volts".to_owned(),
            descending: true,
        }];
        let query = SortedQuery {
            keys,
            limit: 500,
            page_size: 500,
            max_pages: 100,
            min_shard_share: 1.0,
            idempotent: true,
            after: None,
        };
        let mut merge = SortedMerge::new(query, vec![AgreedColumns::new(); shards]);
        loop {
            let fetches = merge.next_fetches();
            assert!(fetches
                .iter()
                .all(|fetch| fetch.location == PageLocation::ShardStart));
            let fetched = |fetch: &PageFetch| fetch.fetched_page(Some(pages[fetch.shard].clone()));
            if merge.accept(fetches.iter().map(fetched).collect()) == MergeProgress::Finished {
                return merge.to_page().returned_count;
            }
        }
    });
}

/// Interprets `body` as a server's page for a part, and returns the served part.
fn serve(part: &PartRequest, body: &[u8]) -> ServedPart {
    let context = part.context.as_ref().expect("the part has a context");
    let request = context
        .get::<PageRequest>()
        .expect("the context is a page request");
    let fetched = FetchedResponse {
        status: 200,
        headers: Default::default(),
        body: body.to_vec(),
    };
    match request.interpret("127.0.0.1:9101", "127.0.0.1:9101", fetched) {
        AttemptEnd::Served(value) => ServedPart {
            shard: part.shard,
            value,
        },
        AttemptEnd::Failed(outcome) => panic!("{outcome:?}"),
    }
}

/// Creates a front with the settings and the inventory of `deploy/`.
fn deployed_front() -> OgcFront {
    let file = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/edge.toml"));
    let edge = EdgeConfig::load(file).expect("the edge file is valid");
    let catalog = SharedCatalog::default();
    lock(&catalog).load(
        &edge.load_inventory().expect("the inventory is valid"),
        Micros::ZERO,
    );
    OgcFront::new(FrontDependencies {
        edge,
        catalog,
        cursor_key: CursorKey::new(b"k"),
        metrics: Arc::default(),
        server_capacity: Arc::default(),
    })
}

/// Parses a request for the items of a collection from its bytes.
fn items_request(query: &str) -> HttpRequest {
    let target = format!("/collections/devices/items?{query}");
    let mut server = ServerConnection::default();
    server
        .input()
        .extend(format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    server
        .next_request()
        .expect("the request is complete")
        .expect("the request is well formed")
}

/// Answers a query with `page` as the page of every part, and returns the length of the response
/// body in bytes.
fn answer(front: &OgcFront, query: &str, page: &[u8]) -> usize {
    let mut reaction = front.handle(items_request(query), Token(1), Micros::ZERO, true);
    loop {
        match reaction {
            Reaction::Respond(response) => {
                assert_eq!(response.status, 200);
                return response.body.len();
            }
            Reaction::Submit(request, render) => {
                let parts = request.parts.iter().map(|part| serve(part, page)).collect();
                reaction = render(Answer::Served {
                    complete: true,
                    parts,
                });
            }
        }
    }
}

/// Measures a query from the bytes of its request to those of its answer, with pages of 500
/// features from the servers.
#[divan::bench(args = [
    "limit=500",
    "limit=500&f=html",
    "limit=500&crs=EPSG:3857",
    "limit=500&properties=volts",
])]
fn answer_of_500(bencher: Bencher, query: &str) {
    let front = deployed_front();
    let page = page_body(500);
    bencher.bench(|| answer(&front, query, &page));
}
