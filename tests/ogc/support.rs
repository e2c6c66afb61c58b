//! Helpers of the tests of the feature front.

use crate::standin::feature_server::{healthy_response, query_parameter, FeatureServer};
use std::ops::Range;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;

/// The items of the collection that most tests query.
pub const ITEMS: &str = "/collections/devices/items";

/// Returns the identifiers of the features with these numbers.
pub fn feature_ids(ids: Range<usize>) -> Vec<String> {
    ids.map(|n| format!("d{n}")).collect()
}

/// A feature server that answers a request for a first page only after [`GatedServer::open`].
pub struct GatedServer {
    /// The server, which is healthy apart from the wait.
    pub server: FeatureServer,
    opener: Sender<()>,
}

impl GatedServer {
    /// Starts a server of these features, with `page` of them on a page.
    pub fn start(ids: Range<usize>, page: usize) -> GatedServer {
        let (opener, gate) = channel::<()>();
        let gate = Mutex::new(gate);
        let server = FeatureServer::start(move |target| {
            if query_parameter(target, "offset").is_none() {
                gate.lock()
                    .expect("the mutex is not poisoned")
                    .recv()
                    .expect("the test opens the gate");
            }
            healthy_response(target, ids.clone(), page)
        });
        GatedServer { server, opener }
    }

    /// Waits until a request has arrived.
    pub fn wait_for_request(&self) {
        while self.server.count_requests(|_| true) == 0 {
            std::thread::yield_now();
        }
    }

    /// Lets the server answer one request for a first page.
    pub fn open(&self) {
        self.opener.send(()).expect("the server waits for the gate");
    }
}
