//! The plan of a query for each shard: which parts of the filter the shard's servers evaluate and
//! which the front evaluates, and how far the servers sort the features.

mod sort_filter;

use super::client_request::ItemsRequest;
use super::cql2::{split, Capabilities, Filter, Matcher, QueryableType};
use super::error::ApiError;
use super::page_request::FeaturePredicate;
use super::paging::{AgreedColumns, ColumnKind, SortKey, SortPosition};
use super::params::Params;
use super::shards::{replicas, NamedShard, ShardReplica};
use super::stable_hash::stable_hash;
use super::state::FrontState;
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
    /// The leading columns of the sort order in which the servers return the features.
    pub agreed_columns: AgreedColumns,
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
    /// one, `after` is the position of the last feature in the previous response.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::PageNotReproducible`] if the resumed shard continues with its first page
    /// and that page can no longer be requested as it was before.
    pub fn for_shards(
        state: &FrontState,
        request: &ItemsRequest,
        shards: &[NamedShard],
        after: Option<&SortPosition>,
        resumed: Option<ResumedShard>,
    ) -> Result<Vec<ShardPlan>, ApiError> {
        let params = &request.params;
        let same_text_order = state.has_same_text_order(&request.collection);
        let replicas = replicas(state, shards);
        // Shards of servers with the same capabilities share a plan, and so the memory of its filter.
        let mut shared: Option<(Capabilities, ShardPlan)> = None;
        let plan = |(index, replicas): (usize, &Vec<ShardReplica>)| {
            let keys = replicas.iter().map(|replica| &replica.key);
            let capabilities = state
                .capabilities()
                .common_capabilities(keys)
                .unwrap_or_default();
            let resumed = resumed.filter(|resumed| resumed.index == index);
            match resumed.map(|resumed| resumed.page) {
                None => {
                    if let Some((_, plan)) = shared.as_ref().filter(|(c, _)| *c == capabilities) {
                        return Ok(plan.clone());
                    }
                    let agreed_columns = agreed_columns(&capabilities, params, same_text_order);
                    let plan = Self::sorted(params, &capabilities, agreed_columns, after);
                    shared = Some((capabilities, plan.clone()));
                    Ok(plan)
                }
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
            .map(|capabilities| Self::from_start(params, capabilities))
            .into_iter()
            .find(is_same)
    }

    /// Returns the plan for a shard that is requested from its start, without a sort order.
    fn from_start(params: &Params, capabilities: &Capabilities) -> Self {
        Self::sorted(params, capabilities, AgreedColumns::new(), None)
    }

    /// Returns the plan for a shard whose servers return features in the order of these columns. It
    /// is requested from its start, or from about the first feature after `after`.
    fn sorted(
        params: &Params,
        capabilities: &Capabilities,
        agreed_columns: AgreedColumns,
        after: Option<&SortPosition>,
    ) -> Self {
        let mut filter = params.filter.clone();
        let after = after.and_then(|after| {
            sort_filter::filter_from(&params.sortby, &agreed_columns, &after.values)
        });
        if let Some(after) = after {
            // The filter is pushed down only if the servers can evaluate all of it. Otherwise it is
            // not needed, because the merge leaves out features before the position in any case.
            if split(&after, capabilities).residual.is_none() {
                filter = Filter::conjunction(filter.into_iter().chain([after]).collect());
            }
        }
        let mut plan = ShardPlan {
            agreed_columns,
            ..ShardPlan::default()
        };
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
        if !self.agreed_columns.is_empty() {
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

/// Returns the leading columns of a query's sort order in which servers with these capabilities return
/// features. `same_text_order` is whether they order texts by their code points.
fn agreed_columns(
    capabilities: &Capabilities,
    params: &Params,
    same_text_order: bool,
) -> AgreedColumns {
    let queryables = &capabilities.queryables.named;
    let keys = params.sortby.iter().map(|key| key.property.as_str());
    let columns: Vec<&str> = keys.chain([ID_PROPERTY]).collect();
    let can_sort = !params.sortby.is_empty()
        && capabilities.classes.contains(SORTING_CLASS)
        && columns.iter().all(|name| queryables.contains_key(*name));
    if !can_sort {
        return AgreedColumns::new();
    }
    let agreed_kind = |name: &&str| match queryables.get(*name)? {
        QueryableType::Number => Some(ColumnKind::Number),
        QueryableType::Text | QueryableType::Time if same_text_order => Some(ColumnKind::Text),
        _ => None,
    };
    columns.iter().map_while(agreed_kind).collect()
}

#[cfg(test)]
mod tests;
