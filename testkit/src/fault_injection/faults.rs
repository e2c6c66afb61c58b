//! Table of the faults that can be injected, each with the check that must detect it.

use super::edits::{
    edit_features, edit_json, parameter_schema, remove_header, remove_link, remove_parameter,
    remove_response_link, replace_in_target, set_header, swap_coordinates,
};
use super::{Alteration, ForwardedRequest, InjectedFault};
use crate::client::Response;
use serde_json::{json, Value as Json};

impl InjectedFault {
    const fn in_request(
        found_by: &'static str,
        description: &'static str,
        alter: fn(&mut ForwardedRequest),
    ) -> InjectedFault {
        let alteration = Alteration::Request(alter);
        InjectedFault { found_by, description, alteration }
    }

    const fn in_response(
        found_by: &'static str,
        description: &'static str,
        alter: fn(&ForwardedRequest, &mut Response),
    ) -> InjectedFault {
        let alteration = Alteration::Response(alter);
        InjectedFault { found_by, description, alteration }
    }
}

/// All faults that can be injected.
pub const INJECTED_FAULTS: &[InjectedFault] = &[
    InjectedFault::in_response(
        "/conf/core/root-success",
        "the landing page has no link to the conformance page",
        |request, response| {
            if request.path() == "/" {
                remove_response_link(response, "conformance")
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/api-definition-success",
        "the API definition has no version",
        |request, response| {
            if request.path() == "/api" {
                edit_json(response, |json| json["openapi"] = Json::Null)
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/conformance-success",
        "Core is not claimed",
        |request, response| {
            if request.path() == "/conformance" {
                edit_json(response, |json| json["conformsTo"] = json!(["http://x/other"]))
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/fc-md-links",
        "a link of the collections has no type",
        |request, response| {
            if request.path() == "/collections" {
                edit_json(response, |json| json["links"][0]["type"] = Json::Null)
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/fc-md-items-links",
        "a collection has no link to its items",
        |request, response| {
            if request.path() == "/collections" {
                edit_json(response, |json| remove_link(&mut json["collections"][0], "items"))
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/sfc-md-success",
        "a collection's title differs from its title in the list",
        |request, response| {
            if request.path() == "/collections/devices" {
                edit_json(response, |json| json["title"] = "other".into())
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/sfc-md-unknown",
        "an unknown collection exists",
        |request, response| {
            if request.target_contains("no-such-collection") {
                response.status = 200
            }
        },
    ),
    InjectedFault::in_response("/conf/core/fc-response", "features have no type", |_, response| {
        edit_features(response, |features| {
            features.iter_mut().for_each(|feature| feature["type"] = Json::Null)
        })
    }),
    InjectedFault::in_response(
        "/conf/core/fc-limit-definition",
        "limit is defined without a maximum",
        |request, response| {
            if request.path() == "/api" {
                edit_json(response, |json| {
                    *parameter_schema(json, "limit") = json!({"type": "integer", "minimum": 1})
                })
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/fc-limit-response",
        "one feature more than the limit",
        |_, response| edit_features(response, |features| features.extend(features.first().cloned())),
    ),
    InjectedFault::in_request("/conf/core/fc-bbox-response", "bbox is ignored", |request| {
        remove_parameter(request, "bbox")
    }),
    InjectedFault::in_request("/conf/core/fc-time-response", "datetime is ignored", |request| {
        remove_parameter(request, "datetime")
    }),
    InjectedFault::in_request(
        "/conf/core/query-param-unknown",
        "an unknown parameter is ignored",
        |request| remove_parameter(request, "no-such-parameter"),
    ),
    InjectedFault::in_request("/conf/core/query-param-invalid", "limit=0 is accepted", |request| {
        if request.target_contains("limit=0") {
            remove_parameter(request, "limit")
        }
    }),
    InjectedFault::in_response("/conf/core/fc-links", "there is no next link", |request, response| {
        if request.target_contains("limit=2") {
            remove_response_link(response, "next")
        }
    }),
    InjectedFault::in_response(
        "/conf/core/fc-next-complete",
        "each page lacks a feature",
        |request, response| {
            if request.target_contains("limit=97") {
                edit_features(response, |features| {
                    features.pop();
                })
            }
        },
    ),
    InjectedFault::in_response("/conf/core/fc-timeStamp", "the time stamp is malformed", |_, response| {
        edit_json(response, |json| json["timeStamp"] = "today".into())
    }),
    InjectedFault::in_response(
        "/conf/core/fc-numberMatched",
        "numberMatched is one too high",
        |_, response| {
            edit_json(response, |json| {
                if let Some(count) = json["numberMatched"].as_u64() {
                    json["numberMatched"] = (count + 1).into()
                }
            })
        },
    ),
    InjectedFault::in_response(
        "/conf/core/fc-numberReturned",
        "numberReturned is one too high",
        |_, response| {
            edit_json(response, |json| {
                json["numberReturned"] = json!(json["numberReturned"].as_u64().unwrap_or(0) + 1)
            })
        },
    ),
    InjectedFault::in_response(
        "/conf/core/f-success",
        "an id returns another feature",
        |request, response| {
            if request.target_contains("/items/") {
                edit_json(response, |json| json["id"] = "other".into())
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/core/f-links",
        "a feature has no link to its collection",
        |request, response| {
            if request.target_contains("/items/") {
                remove_response_link(response, "collection")
            }
        },
    ),
    InjectedFault::in_response("/conf/core/f-unknown", "an unknown feature exists", |request, response| {
        if request.target_contains("no-such-feature") {
            response.status = 200
        }
    }),
    InjectedFault::in_request("/conf/core/http", "HEAD has a body", |request| {
        if request.method == "HEAD" {
            request.method = "GET".to_owned()
        }
    }),
    InjectedFault::in_request("/conf/core/cache", "If-None-Match is ignored", |request| {
        remove_header(request, "if-none-match")
    }),
    InjectedFault::in_response("/conf/core/problem", "an error is plain text", |_, response| {
        if response.status >= 400 {
            set_header(response, "content-type", "text/plain");
        }
    }),
    InjectedFault::in_response("/conf/geojson/definition", "features are plain JSON", |_, response| {
        if response.header("content-type") == "application/geo+json" {
            set_header(response, "content-type", "application/json");
        }
    }),
    InjectedFault::in_response("/conf/geojson/content", "a geometry has an unknown type", |_, response| {
        edit_features(response, |features| {
            if let Some(first) = features.first_mut() {
                first["geometry"]["type"] = "Spot".into()
            }
        })
    }),
    InjectedFault::in_request("/conf/html/definition", "HTML is not served", |request| {
        remove_header(request, "accept")
    }),
    InjectedFault::in_response("/conf/html/content", "features are not drawn", |_, response| {
        if response.header("content-type").starts_with("text/html") {
            response.body = response.text().replace("<circle", "<x").into_bytes()
        }
    }),
    InjectedFault::in_response("/conf/oas30/completeness", "the API lacks the items", |request, response| {
        if request.path() == "/api" {
            edit_json(response, |json| json["paths"]["/collections/{collectionId}/items"] = Json::Null)
        }
    }),
    InjectedFault::in_response("/conf/crs/fc-md-crs-list", "CRS84 is not listed", |request, response| {
        if request.path() == "/collections/devices" {
            edit_json(response, |json| json["crs"] = json!(["http://www.opengis.net/def/crs/EPSG/0/4326"]))
        }
    }),
    InjectedFault::in_response(
        "/conf/crs/fc-md-storageCrs-valid-value",
        "the storage reference system is not listed",
        |request, response| {
            if request.path() == "/collections/devices" {
                edit_json(response, |json| {
                    json["storageCrs"] = "http://www.opengis.net/def/crs/EPSG/0/1".into()
                })
            }
        },
    ),
    InjectedFault::in_request(
        "/conf/crs/fc-crs-valid-value",
        "an unknown reference system is accepted",
        |request| {
            if request.target_contains("EPSG/0/1") {
                remove_parameter(request, "crs")
            }
        },
    ),
    InjectedFault::in_response(
        "/conf/crs/fc-crs-action",
        "latitude and longitude are swapped",
        |request, response| {
            if request.target_contains("EPSG/0/4326") && !request.target_contains("bbox") {
                edit_features(response, |features| features.iter_mut().for_each(swap_coordinates))
            }
        },
    ),
    InjectedFault::in_request("/conf/crs/bbox-crs-action", "bbox-crs is ignored", |request| {
        remove_parameter(request, "bbox-crs")
    }),
    InjectedFault::in_response(
        "/conf/crs/ogc-crs-header-value",
        "the header names another reference system",
        |_, response| {
            set_header(response, "content-crs", "<http://www.opengis.net/def/crs/EPSG/0/3857>");
        },
    ),
    InjectedFault::in_response(
        "/conf/schemas/properties",
        "a property is not in the schema",
        |request, response| {
            if request.path().ends_with("/schema") {
                edit_json(response, |json| {
                    if let Some(properties) = json["properties"].as_object_mut() {
                        properties.remove("volts");
                    }
                })
            }
        },
    ),
    InjectedFault::in_response("/conf/sorting/sortby", "the order is reversed", |request, response| {
        if request.target_contains("sortby") {
            edit_features(response, |features| features.reverse())
        }
    }),
    InjectedFault::in_response(
        "/conf/sorting/sortby-ties",
        "features with equal keys are lost between pages",
        |request, response| {
            if request.target_contains("sortby") {
                edit_features(response, |features| {
                    features.pop();
                })
            }
        },
    ),
    InjectedFault::in_request(
        "/conf/property-selection/properties",
        "all properties are returned",
        |request| remove_parameter(request, "properties"),
    ),
    InjectedFault::in_response(
        "/req/queryables/get-queryables-response",
        "the queryables have no $id",
        |request, response| {
            if request.path().ends_with("/queryables") {
                edit_json(response, |json| json["$id"] = Json::Null)
            }
        },
    ),
    InjectedFault::in_request("/req/filter/filter-param", "the filter is ignored", |request| {
        remove_parameter(request, "filter")
    }),
    InjectedFault::in_request(
        "/req/filter/filter-lang-param",
        "any filter language is accepted",
        |request| {
            if request.target_contains("no-such-language") {
                remove_parameter(request, "filter-lang");
                remove_parameter(request, "filter")
            }
        },
    ),
    InjectedFault::in_request("/req/filter/filter-crs-param", "filter-crs is ignored", |request| {
        remove_parameter(request, "filter-crs")
    }),
    InjectedFault::in_request(
        "/req/features-filter/queryable-unknown",
        "an unknown queryable is accepted",
        |request| {
            if request.target_contains("no_such_queryable") {
                remove_parameter(request, "filter")
            }
        },
    ),
    InjectedFault::in_request(
        "/req/basic-cql2/cql2-filter",
        "less or equal is evaluated as less",
        |request| replace_in_target(request, "+%3C%3D+", "+%3C+"),
    ),
    InjectedFault::in_request(
        "/req/basic-cql2/is-null",
        "features without a value match a negated comparison",
        |request| replace_in_target(request, "NOT+%28feeder+%3D+%27no+such+value%27%29", "TRUE"),
    ),
    InjectedFault::in_request(
        "/req/advanced-comparison-operators/between-predicate",
        "BETWEEN excludes its lower end",
        |request| replace_in_target(request, "volts+BETWEEN", "volts+%2B+1+BETWEEN"),
    ),
    InjectedFault::in_request(
        "/req/case-insensitive-comparison/casei-function",
        "CASEI is ignored",
        |request| replace_in_target(request, "CASEI", ""),
    ),
    InjectedFault::in_request(
        "/req/spatial-functions/spatial-predicates",
        "within is evaluated as disjoint",
        |request| replace_in_target(request, "S_WITHIN", "S_DISJOINT"),
    ),
    InjectedFault::in_request(
        "/req/temporal-functions/temporal-predicates",
        "after is evaluated as before",
        |request| replace_in_target(request, "T_AFTER", "T_BEFORE"),
    ),
    InjectedFault::in_request(
        "/req/array-functions/array-predicates",
        "equals is evaluated as overlaps",
        |request| replace_in_target(request, "A_EQUALS", "A_OVERLAPS"),
    ),
    InjectedFault::in_request("/req/arithmetic/arithmetic", "a product is evaluated as a sum", |request| {
        replace_in_target(request, "+*+", "+%2B+")
    }),
    InjectedFault::in_request("/req/search/post", "the filter of a search is ignored", |request| {
        if request.target == "/search" {
            request.body = json!({"collections": ["devices"], "limit": 500}).to_string().into_bytes()
        }
    }),
];
