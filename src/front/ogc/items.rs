//! A query for features under way: it learns what servers can do where that is of use, then asks rounds of pages until its
//! answer is ready.

use super::cql2::{Filter, Queryables};
use super::cursor::{hash, Cursor, CursorError};
use super::learn::{self, Want};
use super::paging::{Ask, Gather, Page, Place, Position, Step, Wanted};
use super::params::Params;
use super::plans::{holders, plans, server_query, Plan};
use super::ranking::{Ranked, Ranking};
use super::visit::{Kind, Visit};
use super::{lock, render, Fault, Shared};
use crate::coordinator::{Answer, ClassMetrics, PartRequest, Request, RequestContext, Token, COUNTERS};
use crate::front::{Reaction, Render};
use crate::interface::{ShardId, TenantId};
use crate::limits::{QueryCost, QueryShape};
use crate::proto::http::Response;
use crate::time::{unix_ms, Micros};
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// Looks at servers before a query is answered take at most so long, or a quarter of its aim, and a quarter of its time.
const MAX_LOOK: Micros = Micros::from_millis(500);
/// Looks of one query at a time.
const MAX_LOOKS: usize = 16;

/// Who asks, for how long and as what: the same for all rounds of a query.
#[derive(Debug, Clone)]
pub(super) struct Asker {
    pub token: Token,
    pub class: usize,
    pub patience: Micros,
    pub sent: Micros,
}

/// What a query asks, and how its answer's links are written.
pub(super) struct Asked {
    pub base: String,
    pub collection: String,
    /// The query string as it came; of a search its body is in `search`.
    pub query: String,
    pub search: Option<serde_json::Value>,
    pub params: Params,
    pub html: bool,
}

enum Mode {
    Pages(Box<Gather>),
    Ranked(Ranking),
}

/// What came of a round: the shard's place, the size that was asked for, and the page.
type Came = (usize, usize, Option<Arc<Page>>);

/// A query for features of a collection.
pub(super) struct Items {
    shared: Arc<Shared>,
    asker: Asker,
    pub asked: Asked,
    /// The shards of the collection, with the servers' names for them, in order.
    pub shards: Vec<(ShardId, String)>,
    plans: Vec<Plan>,
    mode: Mode,
    /// What was asked in the round under way, and under which number.
    out: Vec<(ShardId, Ask, Arc<Visit>)>,
    before: Option<Cursor>,
    _pages: PagesTaken,
    bytes: Arc<BytesTaken>,
}

/// What a query that was taken on has under way; given back when it ends, however it does.
struct PagesTaken(Arc<Shared>, QueryCost);

impl Drop for PagesTaken {
    fn drop(&mut self) {
        self.0.admission().release_pages(self.1);
    }
}

/// What is set aside for an answer; given back once it is written.
pub(super) struct BytesTaken(Arc<Shared>, f64);

impl Drop for BytesTaken {
    fn drop(&mut self) {
        self.0.admission().release_bytes(self.1);
    }
}

/// An answer that is ready to be rendered.
pub(super) struct Ready<'a> {
    pub asked: &'a Asked,
    pub bytes: Arc<BytesTaken>,
    pub pages: Vec<(Arc<Page>, Range<usize>)>,
    pub count: usize,
    pub whole: bool,
    pub missing: Vec<&'a str>,
    pub matched: Option<u64>,
    pub next: Option<String>,
}

/// Rounds asked by this process.
static ROUNDS: AtomicU64 = AtomicU64::new(0);

/// A request of the core for one round.
pub(super) fn round(
    shared: &Shared,
    asker: &Asker,
    parts: impl ExactSizeIterator<Item = (ShardId, Arc<Visit>)>,
) -> Request {
    let weight = 1.0 / parts.len().max(1) as f64;
    Request {
        token: asker.token,
        // Each round has its own: late parts of one may still be out when the next one begins.
        request_id: format!("q{}.{}", asker.token.0, ROUNDS.fetch_add(1, Relaxed)).into(),
        class: shared.edge.classes[asker.class].name.as_str().into(),
        tenant: TenantId(0),
        timeout: asker.patience,
        sent_at: asker.sent,
        parts: parts
            .map(|(shard, visit)| PartRequest {
                shard,
                weight,
                expected_work: None,
                context: Some(RequestContext::new(visit)),
            })
            .collect(),
        payload: Arc::default(),
        counted: false,
    }
}

/// Counts the end of a query: its rounds are not counted by the core.
pub(super) fn tally(tally: &ClassMetrics, response: &Response) {
    match response.status {
        200..=399 | 404 => &tally.ok,
        503 | 429 => &tally.shed,
        _ => &tally.errors,
    }
    .increment();
}

fn query_hash(asked: &Asked) -> u64 {
    hash(&[asked.collection.as_bytes(), asked.params.bound().as_bytes()])
}

/// The queryables of a collection: the operator's, else what any of its servers tells: what one of them cannot filter is
/// filtered here.
pub(super) fn queryables(shared: &Shared, collection: &str, shards: &[(ShardId, String)]) -> Queryables {
    if let Some(told) = shared.declared(collection) {
        return told;
    }
    let all = holders(shared, shards);
    shared.learned().told(all.iter().flatten().map(|h| &h.1)).unwrap_or_else(Queryables::unknown)
}

/// Asks servers what they can do, if that is of use and nobody else does; then goes on.
pub(super) fn learned(
    shared: Arc<Shared>,
    asker: Asker,
    shards: &[(ShardId, String)],
    then: impl FnOnce(Arc<Shared>) -> Reaction + Send + 'static,
) -> Reaction {
    let mut looks = Vec::new();
    for (pin, at) in holders(&shared, shards).into_iter().flatten() {
        if looks.len() < MAX_LOOKS {
            if let Want::Look(_) = shared.learned().want(&at, asker.sent) {
                let document = |path: String| Arc::new(Visit::new(Kind::Document, path));
                let of = format!("/collections/{}/queryables", at.1);
                looks.push((pin, at, document("/conformance".to_owned()), document(of)));
            }
        }
    }
    if looks.is_empty() {
        return then(shared);
    }
    let parts: Vec<_> = looks.iter().flat_map(|l| [(l.0, l.2.clone()), (l.0, l.3.clone())]).collect();
    // A class with a long aim is taken for a slow one until answers were seen: with less time the module would refuse it.
    let aim = Micros::from_millis(shared.edge.classes[asker.class].aim_ms);
    let patience = Micros(asker.patience.0 / 4).min(MAX_LOOK.max(Micros(aim.0 / 4)));
    let request = round(&shared, &Asker { patience, ..asker.clone() }, parts.into_iter());
    Reaction::Submit(
        request,
        Box::new(move |_| {
            for (_, at, conformance, queryables) in &looks {
                // Whatever became of the round: what came is there.
                let (page, schema) = (conformance.last(), queryables.last());
                let schema = schema.as_ref().map(|s| s.body.as_slice());
                let able = page.and_then(|p| learn::read(&p.body, schema, shared.edge.most_filter_text));
                shared.learned().found(at, able, asker.sent);
            }
            then(shared)
        }),
    )
}

impl Items {
    /// Begins a query, at its cursor if it has one.
    pub fn begin(
        shared: Arc<Shared>,
        asker: Asker,
        asked: Asked,
        shards: Vec<(ShardId, String)>,
    ) -> Result<Reaction, Fault> {
        let mut before = None;
        if let Some(token) = &asked.params.cursor {
            let now = unix_ms() / 1_000;
            let cursor =
                shared.key.open(token, query_hash(&asked), now, shared.edge.cursor_age_s).map_err(told)?;
            before = Some(cursor);
        }
        let from = match &before {
            Some(cursor) if cursor.after.is_none() => position(&shared, &asked.collection, cursor, &shards)?,
            _ => Position::START,
        };
        let taken = match admit(&shared, &asker, &asked, shards.len()) {
            Ok(taken) => taken,
            Err(response) => {
                tally(&shared.tally(asker.class), &response);
                return Ok(Reaction::Respond(response));
            }
        };
        // Whoever asks for a filter or an order has looked at what servers can do.
        let plans = if asked.params.filter.is_none() && asked.params.sortby.is_empty() {
            vec![Plan::default(); shards.len()]
        } else {
            let after = before.as_ref().and_then(|c| c.after.as_deref());
            let kept = before.as_ref().filter(|c| c.link.is_some()).map(|c| (from.shard, c.kept));
            plans(&shared, &asked.params, &shards, after, kept)
        };
        Ok(Items::start(shared, asker, asked, shards, plans, (from, before), taken))
    }

    fn start(
        shared: Arc<Shared>,
        asker: Asker,
        asked: Asked,
        shards: Vec<(ShardId, String)>,
        plans: Vec<Plan>,
        (from, before): (Position, Option<Cursor>),
        (pages, bytes): (PagesTaken, Arc<BytesTaken>),
    ) -> Reaction {
        let (edge, params) = (&shared.edge, &asked.params);
        let class = &edge.classes[asker.class];
        let mode = if params.sortby.is_empty() {
            let wanted = Wanted {
                limit: params.limit,
                page: edge.page_size,
                at_once: edge.at_once,
                pages: edge.most_pages,
                bytes: edge.most_bytes,
                sieved: plans.iter().any(|p| p.sieve.is_some()),
                floor: class.floor,
                again: class.effect != "unsafe",
            };
            Mode::Pages(Box::new(Gather::new(wanted, from, shards.len())))
        } else {
            let ordered: Vec<bool> = plans.iter().map(|p| p.ordered).collect();
            let after = before.as_ref().and_then(|c| c.after.clone());
            let by = params.sortby.clone();
            let (page, pages) = (edge.page_size, edge.most_pages);
            Mode::Ranked(Ranking::new(by, params.limit, page, pages, class.floor, after, &ordered))
        };
        Items { shared, asker, asked, shards, plans, mode, out: Vec::new(), before, _pages: pages, bytes }
            .ask()
    }

    /// Asks for the next round's pages.
    fn ask(mut self) -> Reaction {
        let asks = match &self.mode {
            Mode::Pages(gather) => gather.asks(),
            Mode::Ranked(ranking) => ranking.asks(),
        };
        let mut parts = Vec::new();
        let mut gone = Vec::new();
        for ask in asks {
            match self.visit(&ask) {
                Some((number, visit)) => {
                    parts.push((number, visit.clone()));
                    self.out.push((number, ask, visit));
                }
                None => gone.push((ask.shard, ask.size, None)),
            }
        }
        if parts.is_empty() {
            return self.came(gone, None);
        }
        let request = round(&self.shared, &self.asker, parts.into_iter());
        let render: Render = Box::new(move |answer| self.answered(answer, gone));
        Reaction::Submit(request, render)
    }

    /// What is asked for a page, and under which number: that of its shard, or of its shard at the one server that can go on.
    fn visit(&self, ask: &Ask) -> Option<(ShardId, Arc<Visit>)> {
        let (shard, name) = &self.shards[ask.shard];
        let plan = &self.plans[ask.shard];
        let catalog = lock(&self.shared.catalog);
        let (number, target) = match &ask.place {
            Place::Start => {
                let broken = match &self.mode {
                    Mode::Pages(gather) => gather.broken.as_ref().filter(|b| b.0 == ask.shard),
                    Mode::Ranked(_) => None,
                };
                let elsewhere = broken.and_then(|b| catalog.elsewhere(*shard, &b.1));
                (elsewhere.unwrap_or(*shard), server_query(name, &self.asked.params, plan, ask.size))
            }
            Place::Link { target, .. } if self.shared.same_order(&self.asked.collection) => {
                (*shard, target.to_string())
            }
            // What comes after a page is known to its server alone.
            Place::Link { server, target, .. } => (catalog.pinned(*shard, server)?, target.to_string()),
        };
        let mut visit = Visit::new(Kind::Items, target);
        visit.sieve = plan.sieve.clone();
        Some((number, Arc::new(visit)))
    }

    fn answered(mut self, answer: Answer, gone: Vec<Came>) -> Reaction {
        let out = std::mem::take(&mut self.out);
        let mut came = gone;
        match answer {
            Answer::Served { parts, .. } => {
                for (number, ask, visit) in out {
                    let value = parts.iter().find(|p| p.shard == number);
                    let page = value.and_then(|v| visit.page(&v.value));
                    if let Some(page) = &page {
                        self.shared.admission().record_page(page.body.len(), page.given, ask.size);
                    }
                    came.push((ask.shard, ask.size, page));
                }
                self.came(came, None)
            }
            Answer::DuplicateRequestId | Answer::UnknownClass => self.end(Some(answer)),
            // Refused for load: no shard is missing, there was just no room to ask.
            Answer::Rejected { late: false, .. } if !out.iter().any(|o| o.2.tried()) => {
                self.end(Some(answer))
            }
            answer => {
                came.extend(out.into_iter().map(|(_, ask, _)| (ask.shard, ask.size, None)));
                self.came(came, Some(answer))
            }
        }
    }

    fn came(mut self, came: Vec<Came>, answer: Option<Answer>) -> Reaction {
        let late =
            matches!(answer, Some(Answer::Rejected { late: true, .. } | Answer::Failed { late: true }));
        let failed = || answer.unwrap_or(Answer::Failed { late: false });
        match &mut self.mode {
            Mode::Pages(gather) => match gather.take(came, render::feature_id) {
                Step::More if !late => self.ask(),
                Step::Done if gather.above_floor() => self.end(None),
                _ => self.end(Some(failed())),
            },
            Mode::Ranked(ranking) => match ranking.take(came) {
                Ranked::More if !late => self.ask(),
                Ranked::Done => self.end(None),
                Ranked::TooMany => {
                    let why = "too many features to put in order here, and their servers cannot: ask for fewer by a filter or a box";
                    self.finish(render::problem(400, why))
                }
                _ => self.end(Some(failed())),
            },
        }
    }

    /// Gives the answer: what is in, if that is one, or why there is none.
    fn end(self, failed: Option<Answer>) -> Reaction {
        // What is in is in order and whole up to where its next link leads; an ordered answer is in order only once all is in.
        let good = match &self.mode {
            Mode::Pages(gather) => gather.count() > 0 && gather.above_floor(),
            Mode::Ranked(_) => false,
        };
        if let Some(answer) = failed.filter(|_| !good) {
            let response = render::unanswered(&answer).unwrap_or_else(|| render::problem(500, "no answer"));
            return self.finish(response);
        }
        let response = match self.next_cursor() {
            Ok(next) => render::items(self.ready(next)),
            Err(e) => {
                let (status, why) = told(e);
                render::problem(status, &why)
            }
        };
        self.finish(response)
    }

    fn finish(self, response: Response) -> Reaction {
        tally(&self.shared.tally(self.asker.class), &response);
        Reaction::Respond(response)
    }

    fn ready(&self, next: Option<String>) -> Ready<'_> {
        let names = |missing: Vec<usize>| missing.into_iter().map(|n| self.shards[n].1.as_str()).collect();
        match &self.mode {
            Mode::Pages(gather) => {
                let end = gather.next().map_or(usize::MAX, |p| p.shard);
                Ready {
                    asked: &self.asked,
                    bytes: self.bytes.clone(),
                    pages: gather.taken.clone(),
                    count: gather.count(),
                    whole: gather.whole(),
                    missing: names(gather.missing().into_iter().filter(|n| *n < end).collect()),
                    matched: gather.matched(),
                    next,
                }
            }
            Mode::Ranked(ranking) => {
                let page = Arc::new(ranking.page());
                let count = page.features.len();
                Ready {
                    asked: &self.asked,
                    bytes: self.bytes.clone(),
                    pages: vec![(page, 0..count)],
                    count,
                    whole: ranking.missing().is_empty(),
                    missing: names(ranking.missing()),
                    matched: None,
                    next,
                }
            }
        }
    }

    fn next_cursor(&self) -> Result<Option<String>, CursorError> {
        let mut cursor = Cursor {
            query: query_hash(&self.asked),
            at: unix_ms() / 1_000,
            shard: String::new(),
            skip: 0,
            link: None,
            kept: false,
            after: None,
            answers: 0,
            mark: 0,
        };
        match &self.mode {
            Mode::Pages(gather) => {
                let Some(at) = gather.next() else { return Ok(None) };
                cursor.shard = self.shards[at.shard].1.clone();
                cursor.skip = at.skip;
                if let Place::Link { server, target, size } = &at.place {
                    let name = lock(&self.shared.catalog).name_at(server).unwrap_or(server).to_owned();
                    cursor.link = Some((name, target.to_string(), *size));
                    cursor.kept = self.plans[at.shard].sieve.is_some();
                }
            }
            Mode::Ranked(ranking) => {
                let Some(after) = ranking.next() else { return Ok(None) };
                cursor.after = Some(after);
            }
        }
        Ok(Some(self.shared.key.seal(&cursor.followed(self.before.as_ref())?)))
    }
}

/// Takes a query on, or says when to come back.
fn admit(
    shared: &Arc<Shared>,
    asker: &Asker,
    asked: &Asked,
    shards: usize,
) -> Result<(PagesTaken, Arc<BytesTaken>), Response> {
    let (edge, params) = (&shared.edge, &asked.params);
    let cost = QueryCost::estimate(&QueryShape {
        limit: params.limit,
        page_size: edge.page_size,
        shards,
        parallel_shards: edge.at_once,
        filter_weight: params.filter.as_ref().map_or(0, Filter::weight),
        max_sorted_pages: (!params.sortby.is_empty()).then_some(edge.most_pages),
    });
    let aim = Micros::from_millis(edge.classes[asker.class].aim_ms).min(asker.patience);
    let (cost, bytes) = if edge.limits.admission {
        let admitted = shared.admission().admit(cost, aim, shared.bears.total_throughput());
        let bytes = admitted.map_err(|refusal| {
            COUNTERS.rejected_over_cost.increment();
            render::refused(Some(refusal.retry_after))
        })?;
        (cost, bytes)
    } else {
        (QueryCost { pages: 0.0, buffered_pages: 0.0 }, 0.0)
    };
    Ok((PagesTaken(shared.clone(), cost), Arc::new(BytesTaken(shared.clone(), bytes))))
}

/// Why a cursor is not gone on with, in words.
fn told(e: CursorError) -> Fault {
    match e {
        CursorError::Forged => (400, "cursor: it was not made by this service, or was altered".to_owned()),
        CursorError::OfAnother => (400, "cursor: it belongs to another query".to_owned()),
        CursorError::Stale => (410, "cursor: it is too old; begin anew without it".to_owned()),
        CursorError::Circle => (502, "the server's pages go in a circle".to_owned()),
    }
}

/// Where a cursor leads now.
fn position(
    shared: &Shared,
    collection: &str,
    cursor: &Cursor,
    shards: &[(ShardId, String)],
) -> Result<Position, Fault> {
    let gone = |why: &str| (410, format!("cursor: {why}; begin anew without it"));
    let shard = shards.iter().position(|s| s.1 == cursor.shard);
    let shard = shard.ok_or_else(|| gone("the shard that it leads to is no more"))?;
    let place = match &cursor.link {
        None => Place::Start,
        Some((server, target, size)) => {
            let catalog = lock(&shared.catalog);
            let address = catalog.address_of(server);
            let held = address.as_deref().is_some_and(|a| catalog.pinned(shards[shard].0, a).is_some());
            if !held && !shared.same_order(collection) {
                // No other server need have its features in the same order.
                return Err(gone("the server that its pages came from has left"));
            }
            let server = address.unwrap_or_else(|| server.clone());
            Place::Link { server: server.into(), target: target.as_str().into(), size: *size }
        }
    };
    Ok(Position { shard, place, skip: cursor.skip })
}
