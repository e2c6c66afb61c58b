//! The plan of a query for each shard: which parts of the filter the shard's servers evaluate and
//! which the front evaluates, and whether the servers sort the features.

use super::cql2::{
    flatten, split, Capabilities, ComparisonOperator, Filter, Junction, Matcher, Value,
};
use super::error::ApiError;
use super::page_request::FeaturePredicate;
use super::paging::SortKey;
use super::params::Params;
use super::shards::{replicas, NamedShard, ShardReplica};
use super::stable_hash::stable_hash;
use super::state::FrontState;
use serde_json::Value as Json;
use std::sync::Arc;

/// The conformance class of servers that can sort features (OGC API - Features, Part 8).
const SORTING_CLASS: &str = "sorting";
/// The property by which features with equal sort keys are ordered.
const ID_PROPERTY: &str = "id";

/// The plan of a query for a shard.
#[derive(Clone, Default)]
pub(super) struct ShardPlan {
    /// The part of the filter that servers evaluate, as CQL2 text.
    pushed_down: Option<String>,
    /// The part of the filter that the front evaluates.
    pub predicate: Option<FeaturePredicate>,
    /// The bounding box of all features that can match the filter: west, south, east and north, in
    /// degrees.
    envelope: Option<[f64; 4]>,
    /// Whether the servers return the features in the order of the query.
    pub sorted: bool,
}

/// The shard that continues with pages of an earlier response.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResumedShard {
    /// The index of the shard.
    pub index: usize,
    /// The page with which the shard continues.
    pub page: ResumedPage,
}

/// The page with which a shard continues.
#[derive(Debug, Clone, Copy)]
pub(super) enum ResumedPage {
    /// The page that a server's link leads to.
    AfterLink {
        /// Whether the front has evaluated a part of the filter since the start of the shard.
        filtered_locally: bool,
    },
    /// The first page, of which earlier responses returned some features.
    First(ResumedFirstPage),
}

/// The request for the first page of a shard, of which earlier responses returned some features.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResumedFirstPage {
    /// The number of features that were requested.
    pub page_size: usize,
    /// The hash of the path and query of the request.
    pub target_hash: u64,
}

impl ShardPlan {
    /// Returns the plans for the shards of a query. For a sorted response that is not the first
    /// one, `after_values` has the values of the last feature in the previous response.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::PageNotReproducible`] if the resumed shard continues with its first page
    /// and that page can no longer be requested as it was before.
    pub fn for_shards(
        state: &FrontState,
        params: &Params,
        shards: &[NamedShard],
        after_values: Option<&[Json]>,
        resumed: Option<ResumedShard>,
    ) -> Result<Vec<ShardPlan>, ApiError> {
        let replicas = replicas(state, shards);
        let plan = |(index, replicas): (usize, &Vec<ShardReplica>)| {
            let keys = replicas.iter().map(|replica| &replica.key);
            let capabilities = state
                .capabilities()
                .common_capabilities(keys)
                .unwrap_or_default();
            let resumed = resumed.filter(|resumed| resumed.index == index);
            match resumed.map(|resumed| resumed.page) {
                None => Ok(Self::from_start(params, &capabilities, after_values)),
                Some(ResumedPage::AfterLink { filtered_locally }) => {
                    Ok(Self::after_link(params, filtered_locally))
                }
                Some(ResumedPage::First(first_page)) => {
                    let name = &shards[index].server_collection;
                    Self::at_first_page(params, &capabilities, name, first_page)
                        .ok_or(ApiError::PageNotReproducible)
                }
            }
        };
        replicas.iter().enumerate().map(plan).collect()
    }

    /// Returns the plan for a shard that continues after pages of an earlier response. If the front
    /// evaluated a part of the filter then, it now evaluates the whole filter, because the link may
    /// contain less of the filter than would be pushed down now.
    fn after_link(params: &Params, filtered_locally: bool) -> Self {
        let filter = params.filter.as_ref().filter(|_| filtered_locally);
        ShardPlan {
            predicate: filter.map(predicate),
            ..ShardPlan::default()
        }
    }

    /// Returns the plan with which the first page of a shard is requested as it was before, since
    /// the order of the features may depend on the request. Returns `None` if there is none.
    fn at_first_page(
        params: &Params,
        capabilities: &Capabilities,
        server_collection: &str,
        first_page: ResumedFirstPage,
    ) -> Option<Self> {
        let is_same = |plan: &ShardPlan| {
            let target = plan.target(server_collection, params, first_page.page_size);
            stable_hash(&[target.as_bytes()]) == first_page.target_hash
        };
        // The servers' capabilities may be known now and were not before.
        [capabilities, &Capabilities::default()]
            .map(|capabilities| Self::from_start(params, capabilities, None))
            .into_iter()
            .find(is_same)
    }

    /// Returns the plan for a shard that is requested from its start, or from the first feature
    /// after `after_values`.
    fn from_start(
        params: &Params,
        capabilities: &Capabilities,
        after_values: Option<&[Json]>,
    ) -> Self {
        let mut plan = ShardPlan {
            sorted: can_sort(capabilities, params),
            ..ShardPlan::default()
        };
        let mut filter = params.filter.clone();
        let after = after_values
            .filter(|_| plan.sorted)
            .and_then(|values| after_filter(params, values));
        if let Some(after) = after {
            // The filter is pushed down only if the servers can evaluate all of it. Otherwise it is
            // not needed, because the merge leaves out features before the position in any case.
            if split(&after, capabilities).residual.is_none() {
                filter = Filter::conjunction(filter.into_iter().chain([after]).collect());
            }
        }
        if let Some(filter) = filter {
            let split = split(&filter, capabilities);
            plan.pushed_down = split.pushed_down.map(|filter| filter.to_string());
            plan.predicate = split.residual.as_ref().map(predicate);
            plan.envelope = split.envelope;
        }
        plan
    }

    /// Returns the path and query of the request for the first page of a shard. `server_collection`
    /// is the name of the shard's collection at its servers.
    pub fn target(&self, server_collection: &str, params: &Params, page_size: usize) -> String {
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        let envelope = || {
            self.envelope
                .map(|bbox| bbox.map(|n| n.to_string()).join(","))
        };
        if let Some(bbox) = params.bbox_text().or_else(envelope) {
            query.append_pair("bbox", &bbox);
        }
        if let Some(datetime) = &params.datetime {
            query.append_pair("datetime", datetime);
        }
        if let Some(filter) = &self.pushed_down {
            query
                .append_pair("filter", filter)
                .append_pair("filter-lang", "cql2-text");
        }
        if self.sorted {
            query.append_pair("sortby", &sortby(&params.sortby));
        }
        query.append_pair("limit", &page_size.to_string());
        format!("/collections/{server_collection}/items?{}", query.finish())
    }
}

/// Returns a predicate that is true for the features that match a filter.
fn predicate(filter: &Filter) -> FeaturePredicate {
    let matcher = Matcher::new(filter.clone());
    Arc::new(move |feature: &[u8]| matcher.matches_text(feature))
}

/// Returns the value of the servers' parameter `sortby`: the sort keys, followed by the identifier.
fn sortby(keys: &[SortKey]) -> String {
    let key = |key: &SortKey| format!("{}{}", if key.descending { "-" } else { "+" }, key.property);
    let keys: Vec<String> = keys
        .iter()
        .map(key)
        .chain([format!("+{ID_PROPERTY}")])
        .collect();
    keys.join(",")
}

/// Returns whether servers with these capabilities can return features in the order of a query.
fn can_sort(capabilities: &Capabilities, params: &Params) -> bool {
    let is_queryable = |name: &str| capabilities.queryables.named.contains_key(name);
    !params.sortby.is_empty()
        && capabilities.classes.contains(SORTING_CLASS)
        && is_queryable(ID_PROPERTY)
        && params.sortby.iter().all(|key| is_queryable(&key.property))
}

/// A sort key and a value for it.
struct SortKeyValue<'a> {
    property: &'a str,
    descending: bool,
    value: Value,
}

impl SortKeyValue<'_> {
    /// Returns a filter that compares the property of a feature with the value.
    fn comparison_filter(&self, comparison: ComparisonOperator) -> Filter {
        Filter::Compare(
            comparison,
            Value::Property(self.property.to_owned()),
            self.value.clone(),
        )
    }

    /// Returns a filter for the features whose property comes after the value in the sort order.
    fn filter_after(&self) -> Filter {
        self.comparison_filter(if self.descending {
            ComparisonOperator::Less
        } else {
            ComparisonOperator::Greater
        })
    }
}

/// Returns a filter for the features that come after these values in the order of a query. Returns
/// `None` if a value is missing or cannot be written as a literal in a filter.
fn after_filter(params: &Params, values: &[Json]) -> Option<Filter> {
    let sort_keys = params
        .sortby
        .iter()
        .map(|key| (key.property.as_str(), key.descending));
    let pairs = sort_keys.chain([(ID_PROPERTY, false)]).zip(values);
    let bind = |((property, descending), value)| {
        Some(SortKeyValue {
            property,
            descending,
            value: literal(value)?,
        })
    };
    let keys: Vec<SortKeyValue<'_>> = pairs.map(bind).collect::<Option<_>>()?;
    let alternatives = (0..keys.len()).filter_map(|index| after_filter_at_key(&keys, index));
    let mut alternatives: Vec<Filter> = alternatives.collect();
    Some(match alternatives.len() {
        1 => alternatives.swap_remove(0),
        _ => Filter::Or(flatten(alternatives, Junction::Or)),
    })
}

/// Returns a filter for the features that equal the position in all keys before the one at `index`
/// and come after it in the key at `index`. Features without a value come last.
fn after_filter_at_key(keys: &[SortKeyValue<'_>], index: usize) -> Option<Filter> {
    let key = &keys[index];
    let mut conditions: Vec<Filter> = keys[..index]
        .iter()
        .map(|key| key.comparison_filter(ComparisonOperator::Equal))
        .collect();
    let is_id = index + 1 == keys.len();
    conditions.push(if is_id {
        key.filter_after()
    } else {
        Filter::Or(vec![
            key.filter_after(),
            Filter::IsNull(Value::Property(key.property.to_owned())),
        ])
    });
    Filter::conjunction(conditions)
}

/// Returns the literal for a JSON value in a filter; `None` unless it is a string or a number.
fn literal(value: &Json) -> Option<Value> {
    match value {
        Json::String(text) => Some(Value::Text(text.clone())),
        Json::Number(number) => number.as_f64().map(Value::Number),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
