//! Links in responses.

use super::json::HTML;
use crate::front::ogc::params::Format;
use serde_json::{json, Value as Json};

/// Returns a link to a resource with a media type.
pub(super) fn link(href: String, rel: &str, media_type: &str) -> Json {
    json!({"href": href, "rel": rel, "type": media_type})
}

/// Returns the value of the parameter `f` for a format.
pub(super) fn format_name(format: Format) -> &'static str {
    match format {
        Format::Json => "json",
        Format::Html => "html",
    }
}

/// Returns the media type of a resource in a format; `json_type` is the media type of its JSON
/// format.
pub(super) fn media_type(format: Format, json_type: &str) -> &str {
    match format {
        Format::Json => json_type,
        Format::Html => HTML,
    }
}

/// Returns links to a resource in the format of this response and in the other one. `json_type` is
/// the media type of its JSON format; `href` returns its URL for a value of the parameter `f`.
pub(super) fn self_and_alternate(
    format: Format,
    json_type: &str,
    href: impl Fn(&str) -> String,
) -> [Json; 2] {
    let alternate = match format {
        Format::Json => Format::Html,
        Format::Html => Format::Json,
    };
    [
        link(
            href(format_name(format)),
            "self",
            media_type(format, json_type),
        ),
        link(
            href(format_name(alternate)),
            "alternate",
            media_type(alternate, json_type),
        ),
    ]
}
