//! Runs a query for the features of a collection: rounds of page requests until the merge of its
//! pages is finished. The module [`paging`](super::paging) chooses the pages.

mod merge;
mod resume;

use super::admission::AdmittedQuery;
use super::client_request::{ClientContext, ItemsRequest};
use super::error::ApiError;
use super::page_request::{PageRequest, RequestKind};
use super::paging::{FetchedPage, MergeProgress, PageFetch, PageLocation};
use super::response::feature_collection::feature_collection;
use super::response::items_result::ItemsResult;
use super::response::problem::error_response;
use super::round::{coordinator_request, count_response, ShardRequest};
use super::shard_plan::ShardPlan;
use super::shards::NamedShard;
use super::state::FrontState;
use crate::coordinator::{Answer, ServedPart};
use crate::front::{Reaction, Render};
use crate::interface::ShardId;
use crate::proto::http::Response;
use crate::sync::lock;
use merge::Merge;
use resume::ResumePoint;
use std::sync::Arc;

/// A query in progress.
pub(super) struct ItemsQuery {
    state: Arc<FrontState>,
    client: ClientContext,
    request: ItemsRequest,
    /// The shards of the collection, in order.
    shards: Vec<NamedShard>,
    /// The plan for each of the shards.
    plans: Vec<ShardPlan>,
    /// The merge of the pages received so far.
    merge: Merge,
    /// The page fetches of the current round that were submitted.
    in_flight: Vec<InFlightFetch>,
    /// Whether a page request of a completed round may have run.
    may_have_run: bool,
    resume_point: ResumePoint,
    /// The capacity that is reserved for the query.
    admitted: AdmittedQuery,
}

/// A page fetch of the current round, with its request.
struct InFlightFetch {
    fetch: PageFetch,
    shard_request: ShardRequest,
}

impl ItemsQuery {
    /// Starts a query, at the position of its cursor if it has one.
    ///
    /// # Errors
    ///
    /// Returns an error if the cursor cannot be used.
    pub fn start(
        state: Arc<FrontState>,
        client: ClientContext,
        request: ItemsRequest,
        shards: Vec<NamedShard>,
    ) -> Result<Reaction, ApiError> {
        let resume_point = ResumePoint::from_request(&state, &request, &shards)?;
        let admitted = match AdmittedQuery::admit(&state, &client, &request, shards.len()) {
            Ok(admitted) => admitted,
            Err(error) => {
                let response = error_response(&error);
                count_response(&state.class_metrics(client.class), &response);
                return Ok(Reaction::Respond(response));
            }
        };
        let plans = plans(&state, &request, &shards, &resume_point)?;
        let class = &state.edge.classes[client.class];
        let start = &resume_point.start;
        let merge = Merge::new(&state.edge, class, &request.params, &plans, start);
        let in_flight = Vec::new();
        let query = ItemsQuery {
            state,
            client,
            request,
            shards,
            plans,
            merge,
            in_flight,
            may_have_run: false,
            resume_point,
            admitted,
        };
        Ok(query.next_round())
    }

    /// Submits the requests of the next round.
    fn next_round(mut self) -> Reaction {
        let mut unavailable = Vec::new();
        for fetch in self.merge.next_fetches() {
            match self.shard_request(&fetch) {
                Some(shard_request) => self.in_flight.push(InFlightFetch {
                    fetch,
                    shard_request,
                }),
                None => unavailable.push(fetch.fetched_page(None)),
            }
        }
        if self.in_flight.is_empty() {
            return self.accept(unavailable, None);
        }
        let parts = self
            .in_flight
            .iter()
            .map(|fetch| fetch.shard_request.clone());
        let request = coordinator_request(&self.state, &self.client, parts);
        let render: Render = Box::new(move |answer| self.accept_answer(answer, unavailable));
        Reaction::Submit(request, render)
    }

    /// Returns the request for a page; `None` if the only server that can return the page was
    /// removed or does not accept new work.
    fn shard_request(&self, fetch: &PageFetch) -> Option<ShardRequest> {
        let plan = &self.plans[fetch.shard];
        let shard = match &fetch.location {
            PageLocation::ShardStart => self.shard_to_start(fetch.shard),
            PageLocation::FirstPage { server, .. } | PageLocation::NextLink { server, .. } => {
                self.shard_at_server(fetch.shard, server)?
            }
        };
        let target = match &fetch.location {
            PageLocation::ShardStart | PageLocation::FirstPage { .. } => {
                let name = &self.shards[fetch.shard].server_collection;
                plan.target(name, &self.request.params, fetch.page_size)
            }
            PageLocation::NextLink { target, .. } => target.to_string(),
        };
        let mut page_request = PageRequest::new(RequestKind::Items, target);
        page_request.predicate = plan.predicate.clone();
        Some(ShardRequest {
            shard,
            page_request: Arc::new(page_request),
        })
    }

    /// Returns the identifier of the shard for the request of its first page. An interrupted shard
    /// is restarted at another server if there is one.
    fn shard_to_start(&self, index: usize) -> ShardId {
        let shard = self.shards[index].shard;
        let interrupted_server = self.merge.interrupted_server(index);
        let shard_at_other_servers = interrupted_server
            .and_then(|server| lock(&self.state.catalog).excluding_server(shard, server));
        shard_at_other_servers.unwrap_or(shard)
    }

    /// Returns the identifier of the shard for a request that continues the pages of a server. It
    /// stands for all servers of the shard if they return the features in the same order, and
    /// otherwise for that server.
    fn shard_at_server(&self, index: usize, server: &str) -> Option<ShardId> {
        let shard = self.shards[index].shard;
        if self.state.has_same_order(&self.request.collection) {
            return Some(shard);
        }
        lock(&self.state.catalog).sticky_shard(shard, server)
    }

    /// Handles the coordinator's answer to a round. `unavailable` has the results of the fetches
    /// that could not be submitted.
    fn accept_answer(mut self, answer: Answer, unavailable: Vec<FetchedPage>) -> Reaction {
        let in_flight = std::mem::take(&mut self.in_flight);
        let error = ApiError::from_answer(&answer);
        self.may_have_run |= matches!(answer, Answer::Served { .. } | Answer::Failed { .. });
        let attempted = in_flight
            .iter()
            .any(|fetch| fetch.shard_request.page_request.was_attempted());
        let mut fetched = unavailable;
        match answer {
            Answer::Served { parts, .. } => {
                let pages = in_flight.into_iter();
                fetched.extend(pages.map(|fetch| self.fetched_page(fetch, &parts)));
            }
            Answer::DuplicateRequestId | Answer::UnknownClass => return self.end(error),
            // Rejected because of overload before any request was sent: no shard counts as missing.
            Answer::Rejected { late: false, .. } if !attempted => return self.end(error),
            Answer::Rejected { .. } | Answer::Failed { .. } => {
                let failed = in_flight.into_iter();
                fetched.extend(failed.map(|in_flight| in_flight.fetch.fetched_page(None)));
            }
        }
        self.accept(fetched, error)
    }

    /// Returns the result of a fetch from the served parts of its round, and records the size of
    /// its page for the admission of later queries.
    fn fetched_page(&self, in_flight: InFlightFetch, parts: &[ServedPart]) -> FetchedPage {
        let InFlightFetch {
            fetch,
            shard_request,
        } = in_flight;
        let part = parts.iter().find(|part| part.shard == shard_request.shard);
        let page = part.and_then(|part| shard_request.page_request.page(&part.value));
        if let Some(page) = &page {
            let mut admission = self.state.admission();
            admission.record_page(page.body.len(), page.returned_count, fetch.page_size);
        }
        fetch.fetched_page(page)
    }

    /// Merges the pages of a round, then starts the next round or ends the query. `error` is the
    /// reason why the round failed, or `None` if it succeeded.
    fn accept(mut self, fetched: Vec<FetchedPage>, error: Option<ApiError>) -> Reaction {
        let timed_out = matches!(error, Some(ApiError::Timeout));
        match self.merge.accept(fetched) {
            MergeProgress::NeedsPages if !timed_out => self.next_round(),
            MergeProgress::Finished => self.end(None),
            MergeProgress::TooManyPages => {
                self.respond(error_response(&ApiError::TooManyFeaturesToSort))
            }
            MergeProgress::NeedsPages | MergeProgress::Failed => {
                self.end(Some(error.unwrap_or(ApiError::ServersFailed)))
            }
        }
    }

    /// Ends the query with the features so far. After an error, ends it with the error unless the
    /// features so far are a valid response.
    fn end(self, error: Option<ApiError>) -> Reaction {
        if let Some(error) = error.filter(|_| !self.merge.can_end_early()) {
            let error = self.query_error(error);
            return self.respond(error_response(&error));
        }
        let response = match self.next_cursor() {
            Ok(next_cursor) => feature_collection(&self.result(next_cursor)),
            Err(error) => error_response(&error.into()),
        };
        self.respond(response)
    }

    /// Returns the error of the query if one of its rounds ends with this error. A round that was
    /// rejected has not run, but the client would repeat the rounds before it too.
    fn query_error(&self, error: ApiError) -> ApiError {
        let class = &self.state.edge.classes[self.client.class];
        let is_repeatable = class.is_idempotent() || !self.may_have_run;
        if error.retry_after().is_some() && !is_repeatable {
            return ApiError::RejectedAfterPages;
        }
        error
    }

    /// Counts the response in the metrics of the class and returns it.
    fn respond(self, response: Response) -> Reaction {
        count_response(&self.state.class_metrics(self.client.class), &response);
        Reaction::Respond(response)
    }

    /// Returns the result from which the response is rendered.
    fn result(&self, next_cursor: Option<String>) -> ItemsResult<'_> {
        let merged = self.merge.result();
        let name = |shard: usize| self.shards[shard].server_collection.as_str();
        ItemsResult {
            request: &self.request,
            memory: self.admitted.memory.clone(),
            slices: merged.slices,
            number_returned: merged.number_returned,
            complete: merged.complete,
            missing_shards: merged.missing_shards.into_iter().map(name).collect(),
            number_matched: merged.number_matched,
            next_cursor,
        }
    }
}

/// Returns the plan for each shard. Only queries with a filter or a sort order depend on the
/// capabilities of the servers, and the capabilities are discovered only for these queries.
///
/// # Errors
///
/// Returns [`ApiError::PageNotReproducible`] if the first page of the resumed shard can no longer be
/// requested as it was before.
fn plans(
    state: &FrontState,
    request: &ItemsRequest,
    shards: &[NamedShard],
    resume_point: &ResumePoint,
) -> Result<Vec<ShardPlan>, ApiError> {
    let params = &request.params;
    if params.filter.is_none() && params.sortby.is_empty() {
        return Ok(vec![ShardPlan::default(); shards.len()]);
    }
    ShardPlan::for_shards(
        state,
        request,
        shards,
        resume_point.start.after(),
        resume_point.resumed_shard(),
    )
}
