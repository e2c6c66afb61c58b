//! The parser of `POST /api`, which turns headers and a JSON body into a request to the coordinator.

use super::error::RequestError;
use super::PlatformCatalog;
use crate::coordinator::{PartRequest, Request, Token};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::HttpRequest;
use crate::time::Micros;
use serde::Deserialize;
use std::sync::Arc;

/// The maximum length of a request id, in bytes. Each attempt at a data node repeats the id.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// The maximum timeout of a client, in seconds. A longer timeout is reduced to it.
const MAX_TIMEOUT_S: f64 = 3_600.0;
/// The maximum difference between 1 and the sum of the weights, which clients round.
const MAX_ROUNDING_ERROR: f64 = 1e-3;

/// The body of a request. The error messages that clients receive contain the name of this type.
#[derive(Deserialize)]
struct Query {
    /// The parts of the query.
    #[serde(rename = "tablets")]
    parts: Vec<Tablet>,
    /// The statement that the data nodes run.
    statement: String,
}

/// A part of a query in the body. The error messages that clients receive contain the name of this
/// type.
#[derive(Deserialize)]
struct Tablet {
    /// The number of the shard.
    #[serde(rename = "tablet")]
    shard: u32,
    /// The share of the answer that the part contributes. The weights of all parts add up to 1.
    #[serde(rename = "fraction")]
    weight: f64,
    /// The expected work of the part, in microseconds.
    #[serde(rename = "guess")]
    expected_work_us: Option<f64>,
}

/// Parses a request that the client sent at `sent_at`.
///
/// # Errors
///
/// Fails if a header or the body is malformed, or if it names a class or a shard that `catalog`
/// doesn't have.
pub(super) fn parse(
    catalog: &PlatformCatalog,
    request: &HttpRequest,
    token: Token,
    sent_at: Micros,
) -> Result<Request, RequestError> {
    let request_id = parse_request_id(request)?;
    let class = parse_class(catalog, request)?;
    let timeout = parse_timeout(request)?;
    let query: Query = serde_json::from_slice(&request.body)?;
    let parts = parse_parts(query.parts, catalog.shards)?;
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
fn required_header<'a>(
    request: &'a HttpRequest,
    name: &'static str,
) -> Result<&'a str, RequestError> {
    request
        .headers
        .get(name)
        .ok_or(RequestError::MissingHeader(name))
}

/// Returns the request id, which the client chooses.
fn parse_request_id(request: &HttpRequest) -> Result<&str, RequestError> {
    let id = required_header(request, "X-Trace-Id")?;
    if id.is_empty()
        || id.len() > MAX_REQUEST_ID_BYTES
        || !id.bytes().all(|byte| byte.is_ascii_graphic())
    {
        return Err(RequestError::InvalidRequestId);
    }
    Ok(id)
}

/// Returns the name of the request's class.
fn parse_class(catalog: &PlatformCatalog, request: &HttpRequest) -> Result<Arc<str>, RequestError> {
    let name = required_header(request, "X-Qos")?;
    let class = catalog.classes.iter().find(|class| &***class == name);
    class.cloned().ok_or(RequestError::UnknownClass)
}

/// Returns the client's timeout, measured from the time at which the client sent the request.
fn parse_timeout(request: &HttpRequest) -> Result<Micros, RequestError> {
    let seconds = required_header(request, "X-Expires-In")?
        .parse::<f64>()
        .ok();
    let seconds = seconds
        .filter(|s| s.is_finite() && *s >= 0.0)
        .ok_or(RequestError::InvalidTimeout)?;
    Ok(Micros((seconds.min(MAX_TIMEOUT_S) * 1e6) as u64))
}

/// Validates the parts of a query to a platform with `shard_count` shards.
fn parse_parts(tablets: Vec<Tablet>, shard_count: u32) -> Result<Vec<PartRequest>, RequestError> {
    let mut parts: Vec<PartRequest> = Vec::with_capacity(tablets.len());
    for tablet in tablets {
        let weight = Some(tablet.weight).filter(|weight| weight.is_finite() && *weight >= 0.0);
        let weight = weight.ok_or(RequestError::InvalidWeight)?;
        let shard = ShardId(tablet.shard);
        if shard.0 >= shard_count {
            return Err(RequestError::UnknownShard(shard.0));
        }
        if parts.iter().any(|part| part.shard == shard) {
            return Err(RequestError::DuplicateShard(shard.0));
        }
        let expected_work = tablet
            .expected_work_us
            .filter(|micros| micros.is_finite() && *micros >= 0.0);
        let expected_work = expected_work.map(|micros| Micros(micros as u64));
        parts.push(PartRequest {
            shard,
            weight,
            expected_work,
            context: None,
        });
    }
    if parts.is_empty() {
        return Err(RequestError::NoParts);
    }
    // If the sum were less than 1, an incomplete answer could count as complete.
    let sum = parts.iter().map(|part| part.weight).sum::<f64>();
    if (sum - 1.0).abs() > MAX_ROUNDING_ERROR {
        return Err(RequestError::WeightSum);
    }
    Ok(parts)
}
