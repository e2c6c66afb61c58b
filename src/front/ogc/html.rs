//! Pages for people: the same resources as HTML, features with a map drawn as SVG.

use super::items::Ready;
use super::paging::PageSlice;
use super::render;
use crate::proto::http::Response;
use serde_json::Value as Json;
use std::fmt::Write as _;

const HTML: &str = "text/html; charset=utf-8";
/// Features drawn and listed; an answer may have more.
const MAX_SHOWN: usize = 1_000;
/// Points drawn of one line or ring.
const MAX_DRAWN: usize = 2_000;
/// The map's size.
const WIDTH: f64 = 800.0;
const HEIGHT: f64 = 500.0;

/// Text that stands for itself in HTML.
fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            c => out.push(c),
        }
    }
    out
}

fn page(title: &str, main: &str) -> Response {
    let title = escaped(title);
    let text = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title><style>\
         body{{font-family:sans-serif;margin:1.5em;max-width:70em}}table{{border-collapse:collapse}}\
         td,th{{border:1px solid #ccc;padding:.2em .5em;text-align:left;vertical-align:top}}\
         svg{{background:#eef3f7;border:1px solid #ccc}}</style></head>\n<body><h1>{title}</h1>\n{main}\n</body></html>\n"
    );
    Response::new(200, HTML, text)
}

/// A document's links, the ones that are not for machines only.
fn links(json: &Json) -> String {
    let mut text = String::from("<ul>");
    for link in json["links"].as_array().into_iter().flatten() {
        let (Some(href), Some(rel)) = (link["href"].as_str(), link["rel"].as_str()) else { continue };
        let title = link["title"].as_str().unwrap_or(rel);
        let _ = write!(
            text,
            "<li><a rel=\"{}\" href=\"{}\">{}</a></li>",
            escaped(rel),
            escaped(href),
            escaped(title)
        );
    }
    text + "</ul>"
}

fn value(json: &Json) -> String {
    match json {
        Json::String(text) if text.starts_with("http://") || text.starts_with("https://") => {
            format!("<a href=\"{0}\">{0}</a>", escaped(text))
        }
        Json::String(text) => escaped(text),
        Json::Null => String::new(),
        other => escaped(&other.to_string()),
    }
}

fn table(json: &Json) -> String {
    let mut text = String::from("<table>");
    for (name, inner) in json.as_object().into_iter().flatten().filter(|m| m.0 != "links") {
        let _ = write!(text, "<tr><th>{}</th><td>{}</td></tr>", escaped(name), value(inner));
    }
    text + "</table>"
}

/// A JSON document about the service as a page: its members and its links.
pub(super) fn document(title: &str, json: &Json) -> Response {
    let mut main = String::new();
    for collection in json["collections"].as_array().into_iter().flatten() {
        let name = collection["title"].as_str().or(collection["id"].as_str()).unwrap_or_default();
        let _ = write!(main, "<h2>{}</h2>{}", escaped(name), links(collection));
    }
    if main.is_empty() {
        main = table(json);
    }
    page(title, &(main + &links(json)))
}

/// One feature as a page.
pub(super) fn feature(json: &Json) -> Response {
    let title = match &json["id"] {
        Json::String(id) => id.clone(),
        id => id.to_string(),
    };
    let main = map(std::slice::from_ref(json)) + &table(&json["properties"]) + &links(json);
    page(&title, &main)
}

/// Features as a page: a map and a table.
pub(super) fn items(ready: &Ready<'_>, rest: &Json) -> Response {
    let asked = ready.asked;
    let all = ready.pages.iter().flat_map(PageSlice::texts);
    let shape = render::Shape::of(&asked.params);
    let shown: Vec<Json> = all
        .take(MAX_SHOWN)
        .filter_map(|f| shape.apply(f))
        .filter_map(|f| serde_json::from_slice(&f).ok())
        .collect();
    let mut main = String::new();
    if !ready.whole {
        let names: Vec<_> = ready.missing.iter().map(|n| escaped(n)).collect();
        let _ = write!(main, "<p><strong>Not whole: missing {}.</strong></p>", names.join(", "));
    }
    let _ = write!(main, "<p>{} features", ready.count);
    if let Some(matched) = ready.matched.filter(|_| ready.whole) {
        let _ = write!(main, " of {matched}");
    }
    if ready.count > shown.len() {
        let _ = write!(main, ", {} shown", shown.len());
    }
    main.push_str("</p>");
    main.push_str(&map(&shown));
    let mut columns: Vec<&str> = Vec::new();
    for name in shown.iter().filter_map(|f| f["properties"].as_object()).flat_map(|p| p.keys()) {
        if !columns.contains(&name.as_str()) && columns.len() < 30 {
            columns.push(name);
        }
    }
    main.push_str("<table><tr><th>id</th>");
    columns.iter().for_each(|c| {
        let _ = write!(main, "<th>{}</th>", escaped(c));
    });
    main.push_str("</tr>");
    for feature in &shown {
        let _ = write!(main, "<tr><td>{}</td>", value(&feature["id"]));
        for column in &columns {
            let _ = write!(main, "<td>{}</td>", value(&feature["properties"][column]));
        }
        main.push_str("</tr>");
    }
    main.push_str("</table>");
    main.push_str(&links(rest));
    page(&asked.collection, &main)
}

/// All positions in a geometry's coordinates.
fn positions(json: &Json, into: &mut Vec<(f64, f64)>) {
    match json {
        Json::Array(list) => {
            match (list.first().and_then(Json::as_f64), list.get(1).and_then(Json::as_f64)) {
                (Some(x), Some(y)) => into.push((x, y)),
                _ => list.iter().for_each(|inner| positions(inner, into)),
            }
        }
        Json::Object(members) => {
            members.get("coordinates").into_iter().for_each(|c| positions(c, into));
            members.get("geometries").into_iter().for_each(|g| positions(g, into));
        }
        _ => {}
    }
}

/// Features drawn where they lie, the first axis to the right and the second up.
fn map(features: &[Json]) -> String {
    let mut all = Vec::new();
    features.iter().for_each(|f| positions(&f["geometry"], &mut all));
    let Some(first) = all.first() else { return String::new() };
    let (mut west, mut south, mut east, mut north) = (first.0, first.1, first.0, first.1);
    for (x, y) in &all {
        (west, east) = (west.min(*x), east.max(*x));
        (south, north) = (south.min(*y), north.max(*y));
    }
    let span = ((east - west) / (WIDTH - 40.0)).max((north - south) / (HEIGHT - 40.0)).max(1e-9);
    let at = |(x, y): (f64, f64)| {
        (WIDTH / 2.0 + (x - (west + east) / 2.0) / span, HEIGHT / 2.0 - (y - (south + north) / 2.0) / span)
    };
    let mut text = format!(
        "<svg role=\"img\" width=\"{WIDTH}\" height=\"{HEIGHT}\" viewBox=\"0 0 {WIDTH} {HEIGHT}\"><title>Map of {} features</title>",
        features.len()
    );
    features.iter().for_each(|f| draw(&f["geometry"], &at, &mut text));
    text + "</svg>"
}

fn draw(geometry: &Json, at: &dyn Fn((f64, f64)) -> (f64, f64), text: &mut String) {
    let coordinates = &geometry["coordinates"];
    let path = |line: &Json, close: bool| {
        let mut points = Vec::new();
        positions(line, &mut points);
        points.truncate(MAX_DRAWN);
        let mut d = String::new();
        for (n, point) in points.into_iter().enumerate() {
            let (x, y) = at(point);
            let _ = write!(d, "{}{x:.1} {y:.1}", if n == 0 { "M" } else { "L" });
        }
        if close {
            d.push('Z');
        }
        d
    };
    let each = |json: &Json| json.as_array().cloned().unwrap_or_default();
    let mut area = |rings: &Json| {
        let d: String = each(rings).iter().map(|r| path(r, true)).collect();
        let _ = write!(
            text,
            "<path d=\"{d}\" fill=\"#27a\" fill-opacity=\".3\" fill-rule=\"evenodd\" stroke=\"#27a\"/>"
        );
    };
    match geometry["type"].as_str() {
        Some("Polygon") => area(coordinates),
        Some("MultiPolygon") => each(coordinates).iter().for_each(area),
        Some("LineString") => {
            let _ = write!(text, "<path d=\"{}\" fill=\"none\" stroke=\"#27a\"/>", path(coordinates, false));
        }
        Some("MultiLineString") => each(coordinates).iter().for_each(|line| {
            let _ = write!(text, "<path d=\"{}\" fill=\"none\" stroke=\"#27a\"/>", path(line, false));
        }),
        Some("Point" | "MultiPoint") => {
            let mut points = Vec::new();
            positions(coordinates, &mut points);
            for point in points {
                let (x, y) = at(point);
                let _ = write!(text, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"#c33\"/>");
            }
        }
        Some("GeometryCollection") => each(&geometry["geometries"]).iter().for_each(|g| draw(g, at, text)),
        _ => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn what_servers_say_is_text_and_never_markup() {
        let feature = json!({"id": "<script>", "geometry": {"type": "Point", "coordinates": [1, 2]},
            "properties": {"<b>": "\"><img onerror=x>", "n": 7}});
        let text = String::from_utf8(super::feature(&feature).body.to_vec()).expect("text");
        assert!(!text.contains("<script") && !text.contains("<img") && !text.contains("<b>"), "{text}");
        assert!(text.contains("<circle") && text.contains("&lt;b&gt;"));
    }

    #[test]
    fn every_kind_of_geometry_is_drawn_inside_the_map() {
        let geometries = [
            json!({"type": "Polygon", "coordinates": [[[0, 0], [9, 0], [9, 9], [0, 0]], [[1, 1], [2, 1], [2, 2], [1, 1]]]}),
            json!({"type": "MultiPolygon", "coordinates": [[[[0, 0], [1, 0], [1, 1], [0, 0]]]]}),
            json!({"type": "LineString", "coordinates": [[0, 0], [-3, 4]]}),
            json!({"type": "MultiLineString", "coordinates": [[[0, 0], [1, 1]], [[2, 2], [3, 3]]]}),
            json!({"type": "MultiPoint", "coordinates": [[0, 0], [1, 1]]}),
            json!({"type": "GeometryCollection", "geometries": [{"type": "Point", "coordinates": [5, 5]}]}),
            json!(null),
            json!({"type": "Point", "coordinates": []}),
        ];
        let features: Vec<Json> = geometries.iter().map(|g| json!({"geometry": g})).collect();
        let text = map(&features);
        assert_eq!((text.matches("<path").count(), text.matches("<circle").count()), (5, 3));
        let numbers = text.split(['M', 'L', ' ', '"', 'Z']).filter_map(|n| n.parse::<f64>().ok());
        assert!(numbers.into_iter().all(|n| (0.0..=800.0).contains(&n)), "{text}");
        assert_eq!(map(&[json!({"geometry": null})]), "");
    }
}
