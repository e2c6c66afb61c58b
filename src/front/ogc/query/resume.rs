//! The start of a response, which the cursor of its request determines, and the cursor for the next
//! response.

use super::merge::ResponseStart;
use super::ItemsQuery;
use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::cursor::{Cursor, CursorError, CursorFirstPage, CursorLink};
use crate::front::ogc::error::ApiError;
use crate::front::ogc::paging::{PageLocation, ResumePosition, SortPosition};
use crate::front::ogc::shard_plan::{ResumedFirstPage, ResumedPage, ResumedShard};
use crate::front::ogc::shards::NamedShard;
use crate::front::ogc::stable_hash::stable_hash;
use crate::front::ogc::state::FrontState;
use crate::sync::lock;
use crate::time::unix_ms;
use serde_json::Value as Json;
use std::sync::Arc;

/// The point at which a query resumes.
pub(super) struct ResumePoint {
    /// The cursor of the request, if it has one.
    cursor: Option<Cursor>,
    /// The start of the response.
    pub start: ResponseStart,
}

impl ResumePoint {
    /// Returns the point at which a request resumes: the position of its cursor, or the start of
    /// the query if it has no cursor.
    ///
    /// # Errors
    ///
    /// Returns an error if the cursor cannot be used, or if its shard or server was removed.
    pub fn from_request(
        state: &FrontState,
        request: &ItemsRequest,
        shards: &[NamedShard],
    ) -> Result<Self, ApiError> {
        let Some(token) = &request.params.cursor else {
            return Ok(ResumePoint {
                cursor: None,
                start: ResponseStart::Position(ResumePosition::START),
            });
        };
        let cursor = state.cursor_key.verify(
            token,
            query_hash(request),
            unix_seconds(),
            state.edge.cursor_max_age_s,
        )?;
        let start = match &cursor.after_values {
            None => {
                let position = position(state, &request.collection, &cursor, shards)?;
                ResponseStart::Position(position)
            }
            Some(values) => ResponseStart::After(sort_position(&cursor.shard, values, shards)?),
        };
        Ok(ResumePoint {
            cursor: Some(cursor),
            start,
        })
    }

    /// Returns the shard that continues with pages of an earlier response, if there is one.
    pub fn resumed_shard(&self) -> Option<ResumedShard> {
        let cursor = self.cursor.as_ref()?;
        let page = match (&cursor.link, &cursor.first_page) {
            (Some(_), _) => ResumedPage::AfterLink {
                filtered_locally: cursor.filtered_locally,
            },
            (None, Some(first_page)) => ResumedPage::First(ResumedFirstPage {
                page_size: first_page.page_size,
                target_hash: first_page.target_hash,
            }),
            (None, None) => return None,
        };
        Some(ResumedShard {
            index: self.start.position().shard,
            page,
        })
    }
}

impl ItemsQuery {
    /// Returns the token of the cursor for the next response; `None` if this is the last response.
    ///
    /// # Errors
    ///
    /// Returns [`CursorError::LinkCycle`] if the position occurred before.
    pub(super) fn next_cursor(&self) -> Result<Option<String>, CursorError> {
        let mut cursor = Cursor::new(query_hash(&self.request), unix_seconds());
        match self.merge.next_start() {
            None => return Ok(None),
            Some(ResponseStart::Position(position)) => self.set_position(&mut cursor, &position),
            Some(ResponseStart::After(position)) => {
                cursor.shard = self.shards[position.shard].server_collection.clone();
                cursor.after_values = Some(position.values);
            }
        }
        let cursor = cursor.advanced_from(self.resume_point.cursor.as_ref())?;
        Ok(Some(self.state.cursor_key.sign(&cursor)))
    }

    /// Sets the shard, the page and the number of features to skip of a cursor.
    fn set_position(&self, cursor: &mut Cursor, position: &ResumePosition) {
        cursor.shard = self.shards[position.shard].server_collection.clone();
        cursor.skip = position.skip;
        let plan = &self.plans[position.shard];
        match &position.location {
            PageLocation::ShardStart => {}
            PageLocation::FirstPage { server, page_size } => {
                let target = plan.target(&cursor.shard, &self.request.params, *page_size);
                cursor.first_page = Some(CursorFirstPage {
                    server: self.server_name(server),
                    page_size: *page_size,
                    target_hash: stable_hash(&[target.as_bytes()]),
                });
            }
            PageLocation::NextLink {
                server,
                target,
                page_size,
            } => {
                cursor.link = Some(CursorLink {
                    server: self.server_name(server),
                    target: target.to_string(),
                    page_size: *page_size,
                });
                cursor.filtered_locally = plan.predicate.is_some();
            }
        }
    }

    /// Returns the name of the server at an address, or the address if no server has it any longer.
    fn server_name(&self, address: &str) -> String {
        lock(&self.state.catalog)
            .server_name(address)
            .unwrap_or(address)
            .to_owned()
    }
}

/// Returns the current Unix time, in seconds.
fn unix_seconds() -> u64 {
    unix_ms() / 1_000
}

/// Returns the hash that binds a cursor to its query.
fn query_hash(request: &ItemsRequest) -> u64 {
    stable_hash(&[
        request.collection.as_bytes(),
        request.params.cursor_binding().as_bytes(),
    ])
}

/// Returns the position of a cursor with these sort values in the current inventory.
///
/// # Errors
///
/// Returns [`ApiError::ShardRemoved`] if the inventory no longer has the shard, and
/// [`CursorError::Expired`] if an earlier release, which named no shard, created the cursor and may
/// have had another order.
fn sort_position(
    shard: &str,
    values: &[Json],
    shards: &[NamedShard],
) -> Result<SortPosition, ApiError> {
    let index = if !shard.is_empty() {
        let shard = shards
            .iter()
            .position(|named| named.server_collection == shard);
        shard.ok_or(ApiError::ShardRemoved)?
    } else if has_unchanged_order(values) {
        // The earlier release had returned the features of all shards with these values.
        shards.len()
    } else {
        return Err(CursorError::Expired.into());
    };
    Ok(SortPosition {
        values: values.to_vec(),
        shard: index,
    })
}

/// Returns whether the last of these values is an identifier that an earlier release ordered as this
/// one does. That release ordered all identifiers as texts.
fn has_unchanged_order(values: &[Json]) -> bool {
    let id = values.last().and_then(Json::as_str);
    id.is_some_and(|id| id.parse::<f64>().is_err())
}

/// Returns the position of a cursor in the current inventory.
///
/// # Errors
///
/// Returns [`ApiError::ShardRemoved`] if the inventory no longer has the shard,
/// [`CursorError::Expired`] if an earlier release did not record at which server the features to skip
/// were counted, or the error of [`server_address`].
fn position(
    state: &FrontState,
    collection: &str,
    cursor: &Cursor,
    shards: &[NamedShard],
) -> Result<ResumePosition, ApiError> {
    let shard = shards
        .iter()
        .position(|shard| shard.server_collection == cursor.shard);
    let shard = shard.ok_or(ApiError::ShardRemoved)?;
    let address = |server: &str| server_address(state, collection, server, &shards[shard]);
    let location = match (&cursor.link, &cursor.first_page) {
        (Some(link), _) => PageLocation::NextLink {
            server: address(&link.server)?,
            target: link.target.as_str().into(),
            page_size: link.page_size,
        },
        (None, Some(first_page)) => PageLocation::FirstPage {
            server: address(&first_page.server)?,
            page_size: first_page.page_size,
        },
        (None, None) if cursor.skip > 0 && !state.has_same_order(collection) => {
            return Err(CursorError::Expired.into());
        }
        (None, None) => PageLocation::ShardStart,
    };
    Ok(ResumePosition {
        shard,
        location,
        skip: cursor.skip,
    })
}

/// Returns the current address of the server whose pages a cursor continues.
///
/// # Errors
///
/// Unless all servers return the features in the same order, returns [`ApiError::ServerRemoved`] if
/// the server no longer serves the shard, and [`ApiError::ServerDraining`] if it is draining and
/// may therefore serve the shard again.
fn server_address(
    state: &FrontState,
    collection: &str,
    server: &str,
    shard: &NamedShard,
) -> Result<Arc<str>, ApiError> {
    let catalog = lock(&state.catalog);
    let address = catalog.server_address(server);
    let serves_shard = address
        .as_deref()
        .is_some_and(|address| catalog.sticky_shard(shard.shard, address).is_some());
    if !serves_shard && !state.has_same_order(collection) {
        if catalog.is_draining(server) {
            return Err(ApiError::ServerDraining);
        }
        // Another server may return the features in another order.
        return Err(ApiError::ServerRemoved);
    }
    Ok(address.as_deref().unwrap_or(server).into())
}
