//! Faults of Part 5: schemas; and sorting and selection of properties.

use super::super::alteration::{Alteration, Scope};
use super::super::InjectedFault;

/// Faults that this module defines.
pub(super) const FAULTS: &[InjectedFault] = &[
    InjectedFault {
        detected_by: "/conf/schemas/properties",
        description: "a property is not in the schema",
        scope: Scope::PathSuffix("/schema"),
        alteration: Alteration::EditJson(|schema| {
            if let Some(properties) = schema["properties"].as_object_mut() {
                properties.remove("volts");
            }
        }),
    },
    InjectedFault {
        detected_by: "/conf/sorting/sortby",
        description: "the order is reversed",
        scope: Scope::Target("sortby"),
        alteration: Alteration::EditFeatures(|features| features.reverse()),
    },
    InjectedFault {
        detected_by: "/conf/sorting/sortby-ties",
        description: "features with equal keys are lost between pages",
        scope: Scope::Target("sortby"),
        alteration: Alteration::EditFeatures(|features| drop(features.pop())),
    },
    InjectedFault {
        detected_by: "/conf/property-selection/properties",
        description: "all properties are returned",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["properties"]),
    },
];
