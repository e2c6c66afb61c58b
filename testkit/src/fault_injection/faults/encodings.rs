//! Faults of Part 1: HTTP, GeoJSON, HTML and OpenAPI 3.0; and caching and problem details.

use super::super::alteration::{Alteration, Scope};
use super::super::InjectedFault;
use crate::client::Header;
use serde_json::Value as Json;

/// Faults that this module defines.
pub(super) const FAULTS: &[InjectedFault] = &[
    InjectedFault {
        detected_by: "/conf/core/http",
        description: "HEAD has a body",
        scope: Scope::All,
        alteration: Alteration::EditRequest(|request| {
            if request.method == "HEAD" {
                request.method = "GET".to_owned();
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/core/cache",
        description: "If-None-Match is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveRequestHeader("if-none-match"),
    },
    InjectedFault {
        detected_by: "/conf/core/problem",
        description: "an error is plain text",
        scope: Scope::All,
        alteration: Alteration::EditResponse(|response| {
            if response.status >= 400 {
                response
                    .headers
                    .set(Header::new("content-type", "text/plain"));
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/geojson/definition",
        description: "features are plain JSON",
        scope: Scope::All,
        alteration: Alteration::EditResponse(|response| {
            if response.header("content-type") == "application/geo+json" {
                response
                    .headers
                    .set(Header::new("content-type", "application/json"));
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/geojson/content",
        description: "a geometry has an unknown type",
        scope: Scope::All,
        alteration: Alteration::EditFeatures(|features| {
            if let Some(first) = features.first_mut() {
                first["geometry"]["type"] = "Spot".into();
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/html/definition",
        description: "HTML is not served",
        scope: Scope::All,
        alteration: Alteration::RemoveRequestHeader("accept"),
    },
    InjectedFault {
        detected_by: "/conf/html/content",
        description: "features are not drawn",
        scope: Scope::All,
        alteration: Alteration::EditResponse(|response| {
            if response.header("content-type").starts_with("text/html") {
                response.body = response.text().replace("<circle", "<x").into_bytes();
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/oas30/completeness",
        description: "the API lacks the items",
        scope: Scope::Path("/api"),
        alteration: Alteration::EditJson(|api| {
            api["paths"]["/collections/{collectionId}/items"] = Json::Null
        }),
    },
];
