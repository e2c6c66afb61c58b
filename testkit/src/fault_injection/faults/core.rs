//! Faults of Part 1, Core: the landing page, the API definition, the conformance page and the
//! collections.

use super::super::alteration::{Alteration, Scope};
use super::super::edits::remove_link;
use super::super::InjectedFault;
use serde_json::{json, Value as Json};

/// Faults that this module defines.
pub(super) const FAULTS: &[InjectedFault] = &[
    InjectedFault {
        detected_by: "/conf/core/root-success",
        description: "the landing page has no link to the conformance page",
        scope: Scope::Path("/"),
        alteration: Alteration::RemoveLink("conformance"),
    },
    InjectedFault {
        detected_by: "/conf/core/api-definition-success",
        description: "the API definition has no version",
        scope: Scope::Path("/api"),
        alteration: Alteration::EditJson(|api| api["openapi"] = Json::Null),
    },
    InjectedFault {
        detected_by: "/conf/core/conformance-success",
        description: "Core is not claimed",
        scope: Scope::Path("/conformance"),
        alteration: Alteration::EditJson(|json| json["conformsTo"] = json!(["http://x/other"])),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-md-links",
        description: "a link of the collections has no type",
        scope: Scope::Path("/collections"),
        alteration: Alteration::EditJson(|json| json["links"][0]["type"] = Json::Null),
    },
    InjectedFault {
        detected_by: "/conf/core/fc-md-items-links",
        description: "a collection has no link to its items",
        scope: Scope::Path("/collections"),
        alteration: Alteration::EditJson(|json| remove_link(&mut json["collections"][0], "items")),
    },
    InjectedFault {
        detected_by: "/conf/core/sfc-md-success",
        description: "a collection's title differs from its title in the list",
        scope: Scope::Path("/collections/devices"),
        alteration: Alteration::EditJson(|collection| collection["title"] = "other".into()),
    },
    InjectedFault {
        detected_by: "/conf/core/sfc-md-unknown",
        description: "an unknown collection exists",
        scope: Scope::Target("no-such-collection"),
        alteration: Alteration::EditResponse(|response| response.status = 200),
    },
];
