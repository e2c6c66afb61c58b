//! The state that all queries of the front share.

use super::capabilities::CapabilityCache;
use super::catalog::Catalog;
use super::config::EdgeConfig;
use super::cql2::Queryables;
use super::cursor::CursorKey;
use crate::coordinator::{ClassMetrics, Metrics};
use crate::limits::{query_memory, AdmissionController, ServerCapacity};
use crate::sync::lock;
use crate::time::Micros;
use std::sync::{Arc, Mutex, MutexGuard};

/// The catalog, which the front shares with the reloads of the inventory.
pub type SharedCatalog = Arc<Mutex<Catalog>>;

/// The settings of a front and the objects that it shares with the rest of the program.
pub struct FrontDependencies {
    /// The settings of the edge file.
    pub edge: EdgeConfig,
    /// The catalog, which reloads of the inventory update.
    pub catalog: SharedCatalog,
    /// The key that authenticates cursors.
    pub cursor_key: CursorKey,
    /// The metrics of the classes.
    pub metrics: Arc<Metrics>,
    /// The number of pages per second that all servers together can return.
    pub server_capacity: Arc<ServerCapacity>,
}

/// The state that all queries of the front share.
pub(super) struct FrontState {
    /// The settings of the edge file.
    pub edge: EdgeConfig,
    /// The catalog, which reloads of the inventory update.
    pub catalog: SharedCatalog,
    /// The key that authenticates cursors.
    pub cursor_key: CursorKey,
    /// The number of pages per second that all servers together can return. The admission of
    /// queries depends on it.
    pub server_capacity: Arc<ServerCapacity>,
    metrics: Arc<Metrics>,
    capabilities: Mutex<CapabilityCache>,
    admission: Mutex<AdmissionController>,
}

impl FrontState {
    /// Creates the state of a front.
    pub fn new(dependencies: FrontDependencies) -> Self {
        let FrontDependencies {
            edge,
            catalog,
            cursor_key,
            metrics,
            server_capacity,
        } = dependencies;
        let capabilities = CapabilityCache::new(Micros::from_secs(edge.capability_max_age_s));
        let memory = query_memory(edge.memory_mb * 1024 * 1024);
        FrontState {
            edge,
            catalog,
            cursor_key,
            server_capacity,
            metrics,
            capabilities: Mutex::new(capabilities),
            admission: Mutex::new(AdmissionController::new(memory)),
        }
    }

    /// Locks and returns the admission controller.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        lock(&self.admission)
    }

    /// Locks and returns the cache of the servers' capabilities.
    pub fn capabilities(&self) -> MutexGuard<'_, CapabilityCache> {
        lock(&self.capabilities)
    }

    /// Returns the queryables that the edge file declares for a collection, if it declares any.
    pub fn declared_queryables(&self, collection: &str) -> Option<Queryables> {
        self.edge
            .collections
            .iter()
            .find(|c| c.id == collection)?
            .queryables()
    }

    /// Returns the metrics of a class, by its index in the edge file.
    pub fn class_metrics(&self, class: usize) -> Arc<ClassMetrics> {
        self.metrics.class(&self.edge.classes[class].name)
    }

    /// Returns whether all servers of a collection return its features in the same order, with
    /// links that lead to the same page at every server.
    pub fn has_same_order(&self, collection: &str) -> bool {
        self.edge
            .collections
            .iter()
            .any(|c| c.id == collection && c.same_order)
    }

    /// Returns whether all servers of a collection order texts by their code points.
    pub fn has_same_text_order(&self, collection: &str) -> bool {
        self.edge
            .collections
            .iter()
            .any(|c| c.id == collection && c.same_text_order)
    }
}
