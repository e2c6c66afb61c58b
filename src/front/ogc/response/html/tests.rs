//! Tests that values from servers are not interpreted as markup in HTML pages.

use super::feature;
use serde_json::json;

#[test]
fn values_from_servers_are_escaped() {
    let json = json!({"id": "<script>", "geometry": {"type": "Point", "coordinates": [1, 2]},
        "properties": {"<b>": "\"><img onerror=x>", "n": 7}});
    let text = String::from_utf8(feature(&json).body.to_vec()).expect("the page is text");
    assert!(
        !text.contains("<script") && !text.contains("<img") && !text.contains("<b>"),
        "{text}"
    );
    assert!(text.contains("<circle") && text.contains("&lt;b&gt;"));
}
