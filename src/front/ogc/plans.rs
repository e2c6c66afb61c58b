//! How each shard of a query is asked: what of its filter its servers do, whether they give its order, and what lies beyond
//! the last feature that was given.

use super::capabilities::ReplicaKey;
use super::catalog::ShardHolder;
use super::cql2::{flat, split, Capabilities, ComparisonOperator, Filter, Matcher, Value};
use super::page_request::FeaturePredicate;
use super::params::Params;
use super::{lock, Shared};
use crate::interface::ShardId;
use std::sync::Arc;

/// How a shard is asked, and what of the filter is left to do here.
#[derive(Clone, Default)]
pub(super) struct Plan {
    pub passed: Option<String>,
    pub sieve: Option<FeaturePredicate>,
    pub envelope: Option<[f64; 4]>,
    /// It comes in the order that is wanted.
    pub ordered: bool,
}

/// Where the pages of a shard can come from.
pub(super) fn holders(shared: &Shared, shards: &[(ShardId, String)]) -> Vec<Vec<(ShardId, ReplicaKey)>> {
    let catalog = lock(&shared.catalog);
    let of = |(shard, name): &(ShardId, String)| {
        let servers = catalog.ready_holders(*shard).into_iter();
        let replica = |holder: ShardHolder<'_>| {
            let key = ReplicaKey { address: Arc::from(holder.address), source: Arc::from(name.as_str()) };
            (holder.sticky_shard, key)
        };
        servers.map(replica).collect()
    };
    shards.iter().map(of).collect()
}

/// How each shard is asked. `after`: what was given last in an ordered answer; `kept`: the shard that a link goes on in, and
/// whether something was filtered here from its begin on. Then all is, since the link may say less than would be said now.
pub(super) fn plans(
    shared: &Shared,
    params: &Params,
    shards: &[(ShardId, String)],
    after: Option<&[serde_json::Value]>,
    kept: Option<(usize, bool)>,
) -> Vec<Plan> {
    let whole = |filter: &Filter| -> FeaturePredicate {
        let matcher = Matcher::new(filter.clone());
        Arc::new(move |feature: &[u8]| matcher.matches_text(feature))
    };
    let all = holders(shared, shards);
    let plan = |(n, at): (usize, &Vec<(ShardId, ReplicaKey)>)| {
        let able = shared.learned().common(at.iter().map(|h| &h.1)).unwrap_or_default();
        let mut plan = Plan::default();
        if let Some((_, kept)) = kept.filter(|k| k.0 == n) {
            plan.sieve = params.filter.as_ref().filter(|_| kept).map(whole);
            return plan;
        }
        plan.ordered = can_order(&able, params);
        let mut wanted = params.filter.clone();
        if let Some(beyond) = after.filter(|_| plan.ordered).and_then(|keys| beyond(params, keys)) {
            // Only where the server can do all of it: the rank is looked at here in any case.
            if split(&beyond, &able).residual.is_none() {
                wanted = Filter::all(wanted.into_iter().chain([beyond]).collect());
            }
        }
        if let Some(filter) = wanted {
            let split = split(&filter, &able);
            plan.passed = split.pushed_down.map(|f| f.to_string());
            plan.sieve = split.residual.as_ref().map(whole);
            plan.envelope = split.envelope;
        }
        plan
    };
    all.iter().enumerate().map(plan).collect()
}

/// Can servers of these abilities give features in this order?
fn can_order(able: &Capabilities, params: &Params) -> bool {
    let known = |name: &str| able.queryables.named.contains_key(name);
    !params.sortby.is_empty()
        && able.classes.contains("sorting")
        && known("id")
        && params.sortby.iter().all(|b| known(&b.property))
}

/// What lies beyond these keys in the order. `None`: it cannot be said, since one of them has no value.
fn beyond(params: &Params, keys: &[serde_json::Value]) -> Option<Filter> {
    let literal = |key: &serde_json::Value| match key {
        serde_json::Value::String(text) => Some(Value::Text(text.clone())),
        serde_json::Value::Number(n) => n.as_f64().map(Value::Number),
        _ => None,
    };
    let names = params.sortby.iter().map(|b| (b.property.as_str(), b.descending)).chain([("id", false)]);
    let keys: Vec<_> = names.zip(keys).map(|((n, d), k)| Some((n, d, literal(k)?))).collect::<Option<_>>()?;
    let compare = |op, (name, _, value): &(&str, bool, Value)| {
        Filter::Compare(op, Value::Property((*name).to_owned()), value.clone())
    };
    let ways = (0..keys.len()).map(|n| {
        let op = if keys[n].1 { ComparisonOperator::Less } else { ComparisonOperator::Greater };
        let same = keys[..n].iter().map(|k| compare(ComparisonOperator::Equal, k));
        let mut parts: Vec<Filter> = same.chain([compare(op, &keys[n])]).collect();
        // What has no value comes last.
        if n + 1 < keys.len() {
            let none = Filter::IsNull(Value::Property(keys[n].0.to_owned()));
            let last = parts.pop();
            parts.extend(last.map(|l| Filter::Or(vec![l, none])));
        }
        Filter::all(parts)
    });
    let mut ways: Vec<Filter> = ways.flatten().collect();
    Some(if ways.len() == 1 { ways.swap_remove(0) } else { Filter::Or(flat(ways, false)) })
}

/// The query for a server: a page of a shard.
pub(super) fn server_query(source: &str, params: &Params, plan: &Plan, size: usize) -> String {
    let mut query = url::form_urlencoded::Serializer::new(String::new());
    let bbox = params.bbox_text().or_else(|| {
        // All that can pass here lies in it.
        plan.envelope.map(|e| e.map(|n| n.to_string()).join(","))
    });
    if let Some(bbox) = bbox {
        query.append_pair("bbox", &bbox);
    }
    if let Some(datetime) = &params.datetime {
        query.append_pair("datetime", datetime);
    }
    if let Some(filter) = &plan.passed {
        query.append_pair("filter", filter).append_pair("filter-lang", "cql2-text");
    }
    if plan.ordered {
        let key =
            |b: &super::ranking::SortKey| format!("{}{}", if b.descending { "-" } else { "+" }, b.property);
        let keys: Vec<String> = params.sortby.iter().map(key).chain(["+id".to_owned()]).collect();
        query.append_pair("sortby", &keys.join(","));
    }
    query.append_pair("limit", &size.to_string());
    format!("/collections/{source}/items?{}", query.finish())
}
