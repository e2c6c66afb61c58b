//! One attempt at a feature server, queued or running, and its cancellation.

use crate::coordinator::{AttemptKey, ClassMetrics};
use crate::front::ogc::page_request::PageRequest;
use crate::interface::ReplicaId;
use crate::proto::fetch::Fetch;
use crate::sync::lock;
use may::io::WaitIoWaker;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The cancellation of an attempt, which the client and the attempt's driver share.
#[derive(Default)]
pub(super) struct Cancellation {
    state: Mutex<CancellationState>,
}

#[derive(Default)]
struct CancellationState {
    /// Whether the attempt was cancelled.
    cancelled: bool,
    /// The waker of the driver; set while the driver has a connection.
    waker: Option<WaitIoWaker>,
}

impl Cancellation {
    /// Cancels the attempt and wakes its driver.
    pub(super) fn cancel(&self) {
        let mut state = lock(&self.state);
        state.cancelled = true;
        if let Some(waker) = &state.waker {
            waker.wakeup();
        }
    }

    /// Returns whether the attempt was cancelled.
    pub(super) fn is_cancelled(&self) -> bool {
        lock(&self.state).cancelled
    }

    /// Sets or removes the waker of the driver.
    pub(super) fn set_waker(&self, waker: Option<WaitIoWaker>) {
        lock(&self.state).waker = waker;
    }
}

/// The request for one page, and the attempt that it belongs to.
pub(super) struct FetchRequest {
    /// The coordinator's key of the attempt.
    pub(super) key: AttemptKey,
    /// The server that the policy chose.
    pub(super) replica: ReplicaId,
    /// The address of the server.
    pub(super) address: SocketAddr,
    /// The state of the request and its response.
    pub(super) fetch: Fetch,
    /// The request for the page, as the front describes it.
    pub(super) page_request: Arc<PageRequest>,
    /// The cancellation, shared with the client.
    pub(super) cancellation: Arc<Cancellation>,
    /// The counters of the attempt's class. The attempt is counted once its request is written.
    pub(super) metrics: Arc<ClassMetrics>,
}
