//! Parsing of `POST /api`: headers and a JSON body become a request to the core.

use super::error::RequestError;
use super::PlatformCatalog;
use crate::coordinator::{PartRequest, Request, Token};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::HttpRequest;
use crate::time::Micros;
use serde::Deserialize;
use std::sync::Arc;

/// Most characters of a request's identifier, which is repeated in every frame.
const MAX_REQUEST_ID: usize = 128;
/// Longest time-out of a client in seconds; a longer one is reduced to it.
const MAX_TIMEOUT_S: f64 = 3_600.0;
/// Largest difference between 1 and the sum of the shares, which are rounded.
const MAX_ROUNDING: f64 = 1e-3;

/// Body of a request. Errors of the JSON reader name this type and its fields.
#[derive(Deserialize)]
struct Query {
    /// Parts of the query, by shard.
    tablets: Vec<Tablet>,
    /// Statement that the nodes run.
    statement: String,
}

/// Part of a query in the body.
#[derive(Deserialize)]
struct Tablet {
    /// Number of the shard.
    tablet: u32,
    /// Share of the answer that the part stands for; all shares add up to 1.
    fraction: f64,
    /// Expected work of the part, in microseconds.
    guess: Option<f64>,
}

/// Parses a request that its client sent at `sent_at`.
///
/// # Errors
///
/// Fails if a header or the body is malformed, or names a class or a shard that `catalog` doesn't
/// have.
pub(super) fn parse(
    catalog: &PlatformCatalog,
    request: &HttpRequest,
    token: Token,
    sent_at: Micros,
) -> Result<Request, RequestError> {
    let request_id = request_id(request)?;
    let class = class(catalog, request)?;
    let timeout = timeout(request)?;
    let query: Query = serde_json::from_slice(&request.body)?;
    let parts = parts(query.tablets, catalog.shards)?;
    Ok(Request {
        token,
        request_id: request_id.into(),
        class,
        tenant: TenantId(0),
        timeout,
        sent_at,
        parts,
        payload: query.statement.into_bytes().into(),
        counted: true,
    })
}

/// Returns the value of a header that the protocol requires.
fn header<'a>(request: &'a HttpRequest, name: &'static str) -> Result<&'a str, RequestError> {
    request
        .headers
        .get(name)
        .ok_or(RequestError::MissingHeader(name))
}

/// Returns the request's identifier.
fn request_id(request: &HttpRequest) -> Result<&str, RequestError> {
    let id = header(request, "X-Trace-Id")?;
    if id.is_empty() || id.len() > MAX_REQUEST_ID || !id.bytes().all(|byte| byte.is_ascii_graphic())
    {
        return Err(RequestError::RequestId);
    }
    Ok(id)
}

/// Returns the class that the request names.
fn class(catalog: &PlatformCatalog, request: &HttpRequest) -> Result<Arc<str>, RequestError> {
    let name = header(request, "X-Qos")?;
    let class = catalog.classes.iter().find(|class| &***class == name);
    class.cloned().ok_or(RequestError::UnknownClass)
}

/// Returns the client's time-out.
fn timeout(request: &HttpRequest) -> Result<Micros, RequestError> {
    let seconds = header(request, "X-Expires-In")?.parse::<f64>().ok();
    let seconds = seconds
        .filter(|s| s.is_finite() && *s >= 0.0)
        .ok_or(RequestError::Timeout)?;
    Ok(Micros((seconds.min(MAX_TIMEOUT_S) * 1e6) as u64))
}

/// Returns the parts of a query over a platform with a number of shards.
fn parts(tablets: Vec<Tablet>, shards: u32) -> Result<Vec<PartRequest>, RequestError> {
    let mut parts: Vec<PartRequest> = Vec::with_capacity(tablets.len());
    for tablet in tablets {
        let weight = Some(tablet.fraction).filter(|weight| weight.is_finite() && *weight >= 0.0);
        let weight = weight.ok_or(RequestError::Share)?;
        let shard = ShardId(tablet.tablet);
        if shard.0 >= shards {
            return Err(RequestError::UnknownShard(shard.0));
        }
        if parts.iter().any(|part| part.shard == shard) {
            return Err(RequestError::DuplicateShard(shard.0));
        }
        let expected_work = tablet
            .guess
            .filter(|guess| guess.is_finite() && *guess >= 0.0);
        let expected_work = expected_work.map(|micros| Micros(micros as u64));
        parts.push(PartRequest {
            shard,
            weight,
            expected_work,
            context: None,
        });
    }
    if parts.is_empty() {
        return Err(RequestError::NoShards);
    }
    // With a sum below 1 an incomplete answer could pass for a complete one.
    let sum = parts.iter().map(|part| part.weight).sum::<f64>();
    if (sum - 1.0).abs() > MAX_ROUNDING {
        return Err(RequestError::ShareSum);
    }
    Ok(parts)
}
