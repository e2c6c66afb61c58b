//! Tests of the parsing of query parameters.

use super::{
    decode_query, negotiate_format, parse_items_query, parse_search, parse_search_body, Format,
    LimitRules, ParameterRules, Params, RequestError,
};
use crate::front::ogc::cql2::Queryables;

const LIMITS: LimitRules = LimitRules {
    default_limit: 10,
    max_limit: 50,
};

fn parse(query: &str, queryables: &Queryables) -> Result<Params, RequestError> {
    parse_items_query(
        &decode_query(query),
        &ParameterRules {
            limits: LIMITS,
            queryables,
        },
    )
}

fn closed_queryables() -> Queryables {
    let schema = serde_json::json!({"properties": {
        "name": {"type": "string"},
        "volts": {"type": "number"},
        "live": {"type": "boolean"},
        "geometry": {"format": "geometry-point"},
    }});
    Queryables::from_schema(&schema).expect("the schema is valid")
}

/// Query strings that are malformed whatever the queryables.
const MALFORMED_QUERIES: &[&str] = &[
    "limit=0",
    "limit=x",
    "limit=-1",
    "bbox=1,2,3",
    "bbox=0,5,1,-5",
    "bbox=0,0,0,NaN",
    "bbox=0,0,200,1",
    "datetime=soon",
    "datetime=../..",
    "datetime=2026-02-01/2026-01-01",
    "shape=round",
    "limit=1&limit=2",
    "filter=x%20=",
    "filter-lang=cql2-text",
    "filter=a=1&filter-lang=sql",
    "bbox-crs=EPSG:1",
    "crs=x",
    "sortby=",
    "sortby=a,a",
    "properties=",
    "filter=S_INTERSECTS(geometry,POINT(200%200))",
];

#[test]
fn well_formed_parameters_are_parsed() {
    let query = "bbox=-10,-5.5,10,5&limit=99999&datetime=2026-01-01T00:00:00Z%2F..&f=json";
    let params = parse(query, &Queryables::unknown()).expect("the parameters are well formed");
    assert_eq!(
        params.limit, 50,
        "a limit above the maximum is reduced, not rejected"
    );
    assert_eq!(params.bbox_text().as_deref(), Some("-10,-5.5,10,5"));
    assert_eq!(params.datetime.as_deref(), Some("2026-01-01T00:00:00Z/.."));
}

#[test]
fn a_bounding_box_may_span_the_antimeridian() {
    assert!(parse("bbox=170,-5,-170,5", &Queryables::unknown()).is_ok());
}

#[test]
fn coordinates_of_other_reference_systems_are_transformed() {
    let queryables = Queryables::unknown();
    let query = "bbox=38,-120,39,-119&bbox-crs=http://www.opengis.net/def/crs/EPSG/0/4326";
    let params = parse(query, &queryables).expect("the parameters are well formed");
    assert_eq!(params.bbox, Some(vec![-120.0, 38.0, -119.0, 39.0]));

    let query = "filter=S_INTERSECTS(geometry,POINT(38%20-120))&filter-crs=EPSG:4326";
    let params = parse(query, &queryables).expect("the parameters are well formed");
    let filter = params.filter.expect("the query has a filter").to_string();
    assert_eq!(filter, "S_INTERSECTS(\"geometry\",POINT(-120 38))");
}

#[test]
fn malformed_parameters_are_rejected() {
    for query in MALFORMED_QUERIES {
        assert!(parse(query, &Queryables::unknown()).is_err(), "{query}");
    }
}

#[test]
fn queryables_are_parameters_and_sort_keys() {
    let closed_queryables = closed_queryables();
    let params = parse(
        "name=a%27b&volts=24&live=true&sortby=-volts,%2Bname,id",
        &closed_queryables,
    )
    .expect("the parameters are well formed");
    assert_eq!(
        params.filter.map(|f| f.to_string()).as_deref(),
        Some("\"name\" = 'a''b' AND \"volts\" = 24 AND \"live\" = TRUE")
    );
    let order: Vec<_> = params
        .sortby
        .iter()
        .map(|b| (b.property.as_str(), b.descending))
        .collect();
    assert_eq!(order, [("volts", true), ("name", false), ("id", false)]);
    for malformed in [
        "watts=1",
        "volts=x",
        "live=maybe",
        "geometry=1",
        "sortby=watts",
        "sortby=geometry",
        "filter=watts=1",
    ] {
        assert!(parse(malformed, &closed_queryables).is_err(), "{malformed}");
    }
}

#[test]
fn the_body_of_a_search_is_parsed_like_parameters() {
    let queryables_of = |name: &str| (name == "devices").then(closed_queryables);
    let parse_body =
        |body: &str| parse_search(&parse_search_body(body.as_bytes())?, queryables_of, LIMITS);
    let body = r#"{"collections":["devices"],"limit":5,"bbox":[0,0,9,9],"filter-lang":"cql2-json",
        "filter":{"op":">","args":[{"property":"volts"},1]},
        "sortby":[{"field":"properties.volts","direction":"desc"}]}"#;
    let search = parse_body(body).expect("the parameters are well formed");
    let expected = parse(
        "limit=5&bbox=0,0,9,9&filter=volts%3E1&sortby=-volts",
        &closed_queryables(),
    )
    .expect("the parameters are well formed");
    assert_eq!(
        (search.collection.as_str(), search.params),
        ("devices", expected)
    );
    for malformed in [
        "",
        "[]",
        "{}",
        r#"{"collections":["x"]}"#,
        r#"{"collections":["devices","x"]}"#,
        r#"{"collections":["devices"],"limit":"x"}"#,
        r#"{"collections":["devices"],"colour":1}"#,
        r#"{"collections":["devices"],"filter":{"op":"x"}}"#,
        r#"{"collections":["devices"],"bbox":[1]}"#,
    ] {
        assert!(parse_body(malformed).is_err(), "{malformed}");
    }
}

#[test]
fn the_format_that_the_client_prefers_is_chosen() {
    let negotiate = |accept: &str| negotiate_format(None, Some(accept)).map_err(|e| e.status());
    let browser = "text/html,application/xhtml+xml,application/xml;q=0.9,*/*;q=0.8";
    assert_eq!(negotiate(browser), Ok(Format::Html));
    assert_eq!(negotiate("*/*"), Ok(Format::Json));
    assert_eq!(
        negotiate("application/geo+json, text/html;q=0.5"),
        Ok(Format::Json)
    );
    assert_eq!(
        negotiate("text/html;q=0.1, application/json;q=0"),
        Ok(Format::Html)
    );
    assert_eq!(negotiate("image/png"), Err(406));
    assert_eq!(negotiate("application/json;q=0"), Err(406));
    assert_eq!(
        negotiate_format(Some("html"), Some("application/json")).map_err(|e| e.status()),
        Ok(Format::Html)
    );
    assert_eq!(
        negotiate_format(Some("pdf"), None).map_err(|e| e.status()),
        Err(400)
    );
}

/// A malformed query string and its message.
struct Malformed {
    query: &'static str,
    message: &'static str,
}

const MALFORMED: &[Malformed] = &[
    Malformed {
        query: "limit=1&limit=2",
        message: "limit is given twice",
    },
    Malformed {
        query: "watts=1",
        message: "unknown parameter \"watts\"",
    },
    Malformed {
        query: "volts=x",
        message: "volts: \"x\" is of another kind",
    },
    Malformed {
        query: "geometry=x",
        message: "geometry: \"x\" is of another kind",
    },
    Malformed {
        query: "limit=0",
        message: "limit is no number from 1 on",
    },
    Malformed {
        query: "crs=x",
        message: "crs: \"x\" is not served",
    },
    Malformed {
        query: "bbox-crs=x",
        message: "bbox-crs: \"x\" is not served",
    },
    Malformed {
        query: "bbox=a,b",
        message: "bbox: numbers are needed",
    },
    Malformed {
        query: "bbox=1,2,3",
        message: "bbox: four or six numbers are needed",
    },
    Malformed {
        query: "bbox=0,5,1,-5",
        message: "bbox: its corners are no box on the globe",
    },
    Malformed {
        query: "bbox=1e30,0,1e30,1&bbox-crs=EPSG:32633",
        message: "bbox: it lies where bbox-crs is not defined",
    },
    Malformed {
        query: "datetime=soon",
        message: "datetime: \"soon\" is no RFC 3339 time",
    },
    Malformed {
        query: "datetime=../..",
        message: "datetime: an interval needs an end",
    },
    Malformed {
        query: "datetime=2026-02-01/2026-01-01",
        message: "datetime: the interval ends before it begins",
    },
    Malformed {
        query: "filter-lang=cql2-text",
        message: "filter-lang without filter",
    },
    Malformed {
        query: "filter=a=1&filter-lang=sql",
        message: "filter-lang \"sql\" is not served",
    },
    Malformed {
        query: "filter=watts=1",
        message: "filter: there is no queryable \"watts\"",
    },
    Malformed {
        query: "filter=S_INTERSECTS(geometry,POINT(200%20200))",
        message: "filter: a point lies outside longitude and latitude",
    },
    Malformed {
        query: "filter=S_INTERSECTS(geometry,POINT(1e30%201))&filter-crs=EPSG:32633",
        message: "filter: a point lies where filter-crs is not defined",
    },
    Malformed {
        query: "properties=",
        message: "properties: names apart by commas are needed",
    },
    Malformed {
        query: "sortby=a,b,c,d,e,f,g,h,i",
        message: "sortby: 1 to 8 properties are needed",
    },
    Malformed {
        query: "sortby=watts",
        message: "sortby: \"watts\" is no sortable",
    },
    Malformed {
        query: "sortby=name,-name",
        message: "sortby: \"name\" is there twice",
    },
];

#[test]
fn each_malformed_parameter_has_its_message() {
    let queryables = closed_queryables();
    for case in MALFORMED {
        let error = parse(case.query, &queryables).expect_err(case.query);
        assert_eq!(error.to_string(), case.message, "{}", case.query);
        assert_eq!(error.status(), 400, "{}", case.query);
    }
}

#[test]
fn each_malformed_search_has_its_message() {
    let queryables_of = |name: &str| (name == "devices").then(closed_queryables);
    let error = |body: &str| {
        let body = parse_search_body(body.as_bytes());
        body.and_then(|body| parse_search(&body, queryables_of, LIMITS))
            .expect_err("malformed")
            .to_string()
    };
    let member = |member: &str| error(&format!("{{\"collections\":[\"devices\"],{member}}}"));
    assert_eq!(
        error(""),
        "the body: EOF while parsing a value at line 1 column 0"
    );
    assert_eq!(error("[]"), "the body is no JSON object");
    assert_eq!(error("{}"), "collections: a list of one is needed");
    assert_eq!(
        error(r#"{"collections":[]}"#),
        "collections: one, and no more, can be searched at a time"
    );
    assert_eq!(
        error(r#"{"collections":["x"]}"#),
        "there is no collection \"x\""
    );
    assert_eq!(member(r#""colour":1"#), "unknown member \"colour\"");
    assert_eq!(member(r#""datetime":1"#), "datetime: text is needed");
    assert_eq!(member(r#""limit":"x""#), "limit is no number from 1 on");
    assert_eq!(member(r#""bbox":["x"]"#), "bbox: numbers are needed");
    assert_eq!(
        member(r#""filter-lang":"sql""#),
        "filter-lang \"sql\" is not served"
    );
    assert_eq!(member(r#""filter":{"op":"x"}"#), "filter: x needs args");
    assert_eq!(
        member(r#""sortby":["x"]"#),
        "sortby: a list of field and direction is needed"
    );
}

#[test]
fn unsupported_formats_have_their_messages() {
    let error =
        |f: Option<&str>, accept: &str| negotiate_format(f, Some(accept)).expect_err("not served");
    let unsupported = error(Some("pdf"), "*/*");
    assert!(matches!(&unsupported, RequestError::UnsupportedFormat(f) if f == "pdf"));
    assert_eq!(
        unsupported.to_string(),
        "f=\"pdf\" is not served: json or html is"
    );
    let unacceptable = error(None, "image/png");
    assert!(matches!(unacceptable, RequestError::NotAcceptable));
    let text = "Accept: application/geo+json, application/json and text/html are served";
    assert_eq!(unacceptable.to_string(), text);
}

#[test]
fn the_cursor_binding_is_the_same_as_in_earlier_versions() {
    let query = "bbox=-10,-5.5,10,5&datetime=2026-01-01&filter=volts%3E1&crs=EPSG:32633\
        &sortby=-volts&properties=name";
    let params = parse(query, &closed_queryables()).expect("the parameters are well formed");
    assert_eq!(
        params.cursor_binding(),
        "Some([-10.0, -5.5, 10.0, 5.0]) Some(\"2026-01-01\") Some(\"\\\"volts\\\" > 1\") \
        Utm(33, true) [By { name: \"volts\", descending: true }] Some([\"name\"])"
    );
    for (crs, name) in [
        ("OGC:CRS84", "Crs84"),
        ("EPSG:4326", "Wgs84"),
        ("EPSG:3857", "Mercator"),
    ] {
        let params = parse(&format!("crs={crs}"), &closed_queryables())
            .expect("the parameters are well formed");
        assert_eq!(
            params.cursor_binding(),
            format!("None None None {name} [] None")
        );
    }
}
