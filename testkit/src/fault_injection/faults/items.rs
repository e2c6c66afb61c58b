//! Faults of Part 1, Core: the items of a collection, their parameters, pages and single features.

use super::super::alteration::{Alteration, Scope};
use super::super::edits::parameter_schema;
use super::super::InjectedFault;
use serde_json::{json, Value as Json};

/// Faults that this module defines.
pub(super) const FAULTS: &[InjectedFault] = &[
    InjectedFault {
        detected_by: "/conf/core/fc-response",
        description: "features have no type",
        scope: Scope::All,
        alteration: Alteration::EditFeatures(|features| {
            features
                .iter_mut()
                .for_each(|feature| feature["type"] = Json::Null)
        }),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-limit-definition",
        description: "limit is defined without a maximum",
        scope: Scope::Path("/api"),
        alteration: Alteration::EditJson(|api| {
            *parameter_schema(api, "limit") = json!({"type": "integer", "minimum": 1})
        }),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-limit-response",
        description: "one feature more than the limit",
        scope: Scope::All,
        alteration: Alteration::EditFeatures(|features| features.extend(features.first().cloned())),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-bbox-response",
        description: "bbox is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["bbox"]),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-time-response",
        description: "datetime is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["datetime"]),
    },
    InjectedFault {
        detected_by: "/conf/core/query-param-unknown",
        description: "an unknown parameter is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["no-such-parameter"]),
    },
    InjectedFault {
        detected_by: "/conf/core/query-param-invalid",
        description: "limit=0 is accepted",
        scope: Scope::Target("limit=0"),
        alteration: Alteration::RemoveParameters(&["limit"]),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-links",
        description: "there is no next link",
        scope: Scope::Target("limit=2"),
        alteration: Alteration::RemoveLink("next"),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-next-complete",
        description: "each page lacks a feature",
        scope: Scope::Target("limit=97"),
        alteration: Alteration::EditFeatures(|features| drop(features.pop())),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-timeStamp",
        description: "the time stamp is malformed",
        scope: Scope::All,
        alteration: Alteration::EditJson(|json| json["timeStamp"] = "today".into()),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-numberMatched",
        description: "numberMatched is one too high",
        scope: Scope::All,
        alteration: Alteration::EditJson(|json| {
            if let Some(count) = json["numberMatched"].as_u64() {
                json["numberMatched"] = (count + 1).into();
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-numberReturned",
        description: "numberReturned is one too high",
        scope: Scope::All,
        alteration: Alteration::EditJson(|json| {
            let count = json["numberReturned"].as_u64().unwrap_or(0);
            json["numberReturned"] = (count + 1).into();
        }),
    },
    InjectedFault {
        detected_by: "/conf/core/f-success",
        description: "an id returns another feature",
        scope: Scope::Target("/items/"),
        alteration: Alteration::EditJson(|feature| feature["id"] = "other".into()),
    },
    InjectedFault {
        detected_by: "/conf/core/f-links",
        description: "a feature has no link to its collection",
        scope: Scope::Target("/items/"),
        alteration: Alteration::RemoveLink("collection"),
    },
    InjectedFault {
        detected_by: "/conf/core/f-unknown",
        description: "an unknown feature exists",
        scope: Scope::Target("no-such-feature"),
        alteration: Alteration::EditResponse(|response| response.status = 200),
    },
];
