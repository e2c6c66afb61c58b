//! Responses of a feature server as plain data: status, media type and body.

use serde_json::{json, Value as Json};

/// Media type of a feature and of a page of features.
pub(super) const GEO_JSON: &str = "application/geo+json";
const HTML: &str = "text/html";
const JSON: &str = "application/json";
const SCHEMA_JSON: &str = "application/schema+json";

/// Status, media type and body of a response.
pub(super) struct Document {
    status: u16,
    media_type: &'static str,
    pub(super) body: String,
}

impl Document {
    /// Creates a response with a feature or a page of features.
    pub(super) fn geo_json(body: String) -> Document {
        Document {
            status: 200,
            media_type: GEO_JSON,
            body,
        }
    }

    /// Creates a response with an HTML page.
    pub(super) fn html(body: &str) -> Document {
        Document {
            status: 200,
            media_type: HTML,
            body: body.to_owned(),
        }
    }

    /// Creates a response with a JSON document.
    pub(super) fn json(body: &Json) -> Document {
        Document {
            status: 200,
            media_type: JSON,
            body: body.to_string(),
        }
    }

    /// Creates a response with a JSON schema.
    pub(super) fn schema(body: &Json) -> Document {
        Document {
            status: 200,
            media_type: SCHEMA_JSON,
            body: body.to_string(),
        }
    }

    /// Creates an error response for an invalid request.
    pub(super) fn bad_request(reason: &str) -> Document {
        Document {
            status: 400,
            media_type: JSON,
            body: json!({"why": reason}).to_string(),
        }
    }

    /// Creates an error response for an unknown path or feature.
    pub(super) fn not_found() -> Document {
        Document {
            status: 404,
            media_type: JSON,
            body: "{}".to_owned(),
        }
    }

    /// Formats the status line and the `Content-Type` header.
    pub(super) fn head(&self) -> String {
        format!(
            "HTTP/1.1 {} X\r\nContent-Type: {}\r\n",
            self.status, self.media_type
        )
    }
}
