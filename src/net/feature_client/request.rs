//! One attempt at a feature server before and while it runs.

use crate::coordinator::{AttemptKey, ClassMetrics};
use crate::front::ogc::page_request::PageRequest;
use crate::interface::ReplicaId;
use crate::proto::fetch::Fetch;
use crate::sync::lock;
use may::io::WaitIoWaker;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// Whether an attempt is cancelled; the pool and the attempt's driver share it.
#[derive(Default)]
pub(super) struct Cancellation {
    state: Mutex<CancellationState>,
}

#[derive(Default)]
struct CancellationState {
    cancelled: bool,
    /// Wakes the driver; set while it has a connection.
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

    pub(super) fn is_cancelled(&self) -> bool {
        lock(&self.state).cancelled
    }

    pub(super) fn set_waker(&self, waker: Option<WaitIoWaker>) {
        lock(&self.state).waker = waker;
    }
}

/// The request for one page, and the attempt that it belongs to.
pub(super) struct FetchRequest {
    pub(super) key: AttemptKey,
    pub(super) replica: ReplicaId,
    pub(super) address: SocketAddr,
    pub(super) fetch: Fetch,
    pub(super) page_request: Arc<PageRequest>,
    pub(super) cancellation: Arc<Cancellation>,
    /// Where the attempt is counted once it is written.
    pub(super) metrics: Arc<ClassMetrics>,
}
