//! Faults of Part 3 and CQL2: queryables, filter parameters, operators and functions; and searches
//! by POST.

use super::super::alteration::{Alteration, Scope};
use super::super::InjectedFault;
use serde_json::{json, Value as Json};

/// Faults that this module defines.
pub(super) const FAULTS: &[InjectedFault] = &[
    InjectedFault {
        detected_by: "/req/queryables/get-queryables-response",
        description: "the queryables have no $id",
        scope: Scope::PathSuffix("/queryables"),
        alteration: Alteration::EditJson(|schema| schema["$id"] = Json::Null),
    },
    InjectedFault {
        detected_by: "/req/filter/filter-param",
        description: "the filter is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["filter"]),
    },
    InjectedFault {
        detected_by: "/req/filter/filter-lang-param",
        description: "any filter language is accepted",
        scope: Scope::Target("no-such-language"),
        alteration: Alteration::RemoveParameters(&["filter-lang", "filter"]),
    },
    InjectedFault {
        detected_by: "/req/filter/filter-crs-param",
        description: "filter-crs is ignored",
        scope: Scope::All,
        alteration: Alteration::RemoveParameters(&["filter-crs"]),
    },
    InjectedFault {
        detected_by: "/req/features-filter/queryable-unknown",
        description: "an unknown queryable is accepted",
        scope: Scope::Target("no_such_queryable"),
        alteration: Alteration::RemoveParameters(&["filter"]),
    },
    InjectedFault {
        detected_by: "/req/basic-cql2/cql2-filter",
        description: "less or equal is evaluated as less",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "+%3C%3D+",
            to: "+%3C+",
        },
    },
    InjectedFault {
        detected_by: "/req/basic-cql2/is-null",
        description: "features without a value match a negated comparison",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "NOT+%28feeder+%3D+%27no+such+value%27%29",
            to: "TRUE",
        },
    },
    InjectedFault {
        detected_by: "/req/advanced-comparison-operators/between-predicate",
        description: "BETWEEN excludes its lower end",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "volts+BETWEEN",
            to: "volts+%2B+1+BETWEEN",
        },
    },
    InjectedFault {
        detected_by: "/req/case-insensitive-comparison/casei-function",
        description: "CASEI is ignored",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "CASEI",
            to: "",
        },
    },
    InjectedFault {
        detected_by: "/req/spatial-functions/spatial-predicates",
        description: "within is evaluated as disjoint",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "S_WITHIN",
            to: "S_DISJOINT",
        },
    },
    InjectedFault {
        detected_by: "/req/temporal-functions/temporal-predicates",
        description: "after is evaluated as before",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "T_AFTER",
            to: "T_BEFORE",
        },
    },
    InjectedFault {
        detected_by: "/req/array-functions/array-predicates",
        description: "equals is evaluated as overlaps",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "A_EQUALS",
            to: "A_OVERLAPS",
        },
    },
    InjectedFault {
        detected_by: "/req/arithmetic/arithmetic",
        description: "a product is evaluated as a sum",
        scope: Scope::All,
        alteration: Alteration::ReplaceInTarget {
            from: "+*+",
            to: "+%2B+",
        },
    },
    InjectedFault {
        detected_by: "/req/search/post",
        description: "the filter of a search is ignored",
        scope: Scope::All,
        alteration: Alteration::EditRequest(|request| {
            if request.target == "/search" {
                let search = json!({"collections": ["devices"], "limit": 500});
                request.body = search.to_string().into_bytes();
            }
        }),
    },
];
