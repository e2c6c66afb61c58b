//! HTML pages: documents as tables, features as a map and a table.

use super::items_result::ItemsResult;
use super::projection::FeatureProjection;
use super::svg_map::svg_map;
use crate::front::ogc::paging::PageSlice;
use crate::proto::http::Response;
use serde_json::Value as Json;
use std::fmt::Write as _;

const HTML_UTF8: &str = "text/html; charset=utf-8";
/// Maximum number of features that an HTML page draws and lists; a response may have more.
const MAX_SHOWN_FEATURES: usize = 1_000;
/// Maximum number of properties that are listed as columns.
const MAX_COLUMNS: usize = 30;

/// Renders a document about the service: the links of its collections or, if it has none, its
/// members; then its own links.
pub(super) fn document(title: &str, json: &Json) -> Response {
    let mut content = String::new();
    for collection in json["collections"].as_array().into_iter().flatten() {
        let name = collection["title"]
            .as_str()
            .or(collection["id"].as_str())
            .unwrap_or_default();
        let _ = write!(
            content,
            "<h2>{}</h2>{}",
            escape(name),
            link_list(collection)
        );
    }
    if content.is_empty() {
        content = member_table(json);
    }
    html_page(title, &(content + &link_list(json)))
}

/// Renders one feature.
pub(super) fn feature(json: &Json) -> Response {
    let title = match &json["id"] {
        Json::String(id) => id.clone(),
        id => id.to_string(),
    };
    let content =
        svg_map(std::slice::from_ref(json)) + &member_table(&json["properties"]) + &link_list(json);
    html_page(&title, &content)
}

/// Renders the features of a query as a map and a table; `members` are the members of the feature
/// collection other than `features`.
pub(super) fn feature_collection(result: &ItemsResult<'_>, members: &Json) -> Response {
    let shown = shown_features(result);
    let mut content = summary(result, shown.len());
    content.push_str(&svg_map(&shown));
    content.push_str(&feature_table(&shown));
    content.push_str(&link_list(members));
    html_page(&result.request.collection, &content)
}

fn shown_features(result: &ItemsResult<'_>) -> Vec<Json> {
    let projection = FeatureProjection::from_params(&result.request.params);
    let features = result
        .slices
        .iter()
        .flat_map(PageSlice::texts)
        .take(MAX_SHOWN_FEATURES);
    features
        .filter_map(|feature| projection.apply_to_text(feature))
        .filter_map(|feature| serde_json::from_slice(&feature).ok())
        .collect()
}

/// Returns a summary of the response: its missing shards and its number of features.
fn summary(result: &ItemsResult<'_>, shown: usize) -> String {
    let mut text = String::new();
    if !result.complete {
        let names: Vec<_> = result
            .missing_shards
            .iter()
            .map(|name| escape(name))
            .collect();
        let _ = write!(
            text,
            "<p><strong>Not whole: missing {}.</strong></p>",
            names.join(", ")
        );
    }
    let _ = write!(text, "<p>{} features", result.number_returned);
    if let Some(matched) = result.number_matched.filter(|_| result.complete) {
        let _ = write!(text, " of {matched}");
    }
    if result.number_returned > shown {
        let _ = write!(text, ", {shown} shown");
    }
    text + "</p>"
}

/// Returns a table with a row for each feature.
fn feature_table(features: &[Json]) -> String {
    let columns = columns(features);
    let mut text = String::from("<table><tr><th>id</th>");
    for column in &columns {
        let _ = write!(text, "<th>{}</th>", escape(column));
    }
    text.push_str("</tr>");
    for feature in features {
        let _ = write!(text, "<tr><td>{}</td>", table_cell(&feature["id"]));
        for column in &columns {
            let _ = write!(
                text,
                "<td>{}</td>",
                table_cell(&feature["properties"][column])
            );
        }
        text.push_str("</tr>");
    }
    text + "</table>"
}

/// Returns the names of the features' properties, in the order of their first occurrence.
fn columns(features: &[Json]) -> Vec<&str> {
    let properties = features
        .iter()
        .filter_map(|feature| feature["properties"].as_object());
    let mut columns: Vec<&str> = Vec::new();
    for name in properties.flat_map(|members| members.keys()) {
        if !columns.contains(&name.as_str()) && columns.len() < MAX_COLUMNS {
            columns.push(name);
        }
    }
    columns
}

/// Returns a table of the members of an object except for its links.
fn member_table(json: &Json) -> String {
    let mut text = String::from("<table>");
    let members = json.as_object().into_iter().flatten();
    for (name, value) in members.filter(|(name, _)| *name != "links") {
        let _ = write!(
            text,
            "<tr><th>{}</th><td>{}</td></tr>",
            escape(name),
            table_cell(value)
        );
    }
    text + "</table>"
}

/// Returns a value as the content of a table cell.
fn table_cell(value: &Json) -> String {
    match value {
        Json::String(text) if text.starts_with("http://") || text.starts_with("https://") => {
            format!("<a href=\"{0}\">{0}</a>", escape(text))
        }
        Json::String(text) => escape(text),
        Json::Null => String::new(),
        other => escape(&other.to_string()),
    }
}

/// Returns a list of the links of a document. Links without an address or a relation are omitted.
fn link_list(json: &Json) -> String {
    let mut text = String::from("<ul>");
    for link in json["links"].as_array().into_iter().flatten() {
        let (Some(href), Some(rel)) = (link["href"].as_str(), link["rel"].as_str()) else {
            continue;
        };
        let title = link["title"].as_str().unwrap_or(rel);
        let href = escape(href);
        let rel = escape(rel);
        let title = escape(title);
        let _ = write!(
            text,
            "<li><a rel=\"{rel}\" href=\"{href}\">{title}</a></li>"
        );
    }
    text + "</ul>"
}

/// Returns a response with an HTML page; `content` is HTML.
fn html_page(title: &str, content: &str) -> Response {
    let title = escape(title);
    let text = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>{title}</title><style>\
         body{{font-family:sans-serif;margin:1.5em;max-width:70em}}\
         table{{border-collapse:collapse}}\
         td,th{{border:1px solid #ccc;padding:.2em .5em;text-align:left;vertical-align:top}}\
         svg{{background:#eef3f7;border:1px solid #ccc}}</style></head>\n\
         <body><h1>{title}</h1>\n{content}\n</body></html>\n"
    );
    Response::new(200, HTML_UTF8, text)
}

/// Escapes the characters of a text that have a special meaning in HTML.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c => escaped.push(c),
        }
    }
    escaped
}

#[cfg(test)]
mod tests;
