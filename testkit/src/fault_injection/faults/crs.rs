//! Faults of Part 2: coordinate reference systems by reference.

use super::super::alteration::{Alteration, Scope};
use super::super::edits::swap_coordinates;
use super::super::InjectedFault;
use crate::client::Header;
use serde_json::json;

/// Faults that this module defines.
pub(super) const FAULTS: &[InjectedFault] = &[
    InjectedFault {
        detected_by: "/conf/crs/fc-md-crs-list",
        description: "CRS84 is not listed",
        scope: Scope::Path("/collections/devices"),
        alteration: Alteration::EditJson(|json| {
            json["crs"] = json!(["http://www.opengis.net/def/crs/EPSG/0/4326"])
        }),
    },
    InjectedFault {
        detected_by: "/conf/crs/fc-md-storageCrs-valid-value",
        description: "the storage reference system is not listed",
        scope: Scope::Path("/collections/devices"),
        alteration: Alteration::EditJson(|json| {
            json["storageCrs"] = "http://www.opengis.net/def/crs/EPSG/0/1".into()
        }),
    },
    InjectedFault {
        detected_by: "/conf/crs/fc-crs-valid-value",
        description: "an unknown reference system is accepted",
        scope: Scope::Target("EPSG/0/1"),
        alteration: Alteration::RemoveParameters(&["crs"]),
    },
    InjectedFault {
        detected_by: "/conf/crs/fc-crs-action",
        description: "latitude and longitude are swapped",
        scope: Scope::TargetWithout {
            contained: "EPSG/0/4326",
            absent: "bbox",
        },
        alteration: Alteration::EditFeatures(|features| {
            features.iter_mut().for_each(swap_coordinates)
        }),
    },
    InjectedFault {
        detected_by: "/conf/crs/bbox-crs-action",
        description: "bbox-crs is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["bbox-crs"]),
    },
    InjectedFault {
        detected_by: "/conf/crs/ogc-crs-header-value",
        description: "the header names another reference system",
        scope: Scope::All,
        alteration: Alteration::EditResponse(|response| {
            response.headers.set(Header::new(
                "content-crs",
                "<http://www.opengis.net/def/crs/EPSG/0/3857>",
            ));
        }),
    },
];
