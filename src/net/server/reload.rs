//! Reloads on SIGHUP of the configuration that may change while the process runs. Each source of
//! configuration implements [`Reload`]; the coordinator's loop applies the result.

use super::ReloadError;
use crate::coordinator::{Input, Metrics, COUNTERS};
use crate::front::ogc::config::EdgeConfig;
use crate::front::ogc::inventory::CollectionShard;
use crate::front::ogc::SharedCatalog;
use crate::front::platform::{PlatformCatalog, SharedPlatformCatalog};
use crate::net::config::{ActiveConfig, Config};
use crate::net::watch::DiscoverySource;
use crate::settings::CoordinatorSettings;
use crate::sync;
use crate::time::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// A source of configuration that can be reloaded.
pub(super) trait Reload: Send {
    /// Loads the configuration again. An error changes nothing.
    fn reload(&mut self, now: Micros) -> Result<Reloaded, ReloadError>;
}

/// The reloads that signals requested, and how many of them were carried out.
pub(super) struct RequestedReloads {
    reload: Box<dyn Reload>,
    /// The number of requested reloads that were carried out, whether applied or rejected.
    done: u64,
}

impl RequestedReloads {
    /// Creates a record in which no reload was carried out. A request made during the start
    /// therefore leads to a reload: the file may have changed after it was read.
    pub(super) fn new(reload: Box<dyn Reload>) -> Self {
        RequestedReloads { reload, done: 0 }
    }

    /// Reloads if a reload was requested since the last call. A rejected reload changes nothing and
    /// is logged.
    pub(super) fn reload_if_requested(&mut self, requested: u64, now: Micros) -> Option<Reloaded> {
        if requested == self.done {
            return None;
        }
        self.done = requested;
        match self.reload.reload(now) {
            Ok(reloaded) => {
                COUNTERS.reloads.increment();
                reloaded.change.log();
                Some(reloaded)
            }
            Err(error) => {
                COUNTERS.bad_reloads.increment();
                error.log();
                None
            }
        }
    }
}

/// The result of a successful reload.
pub(super) struct Reloaded {
    /// The change that was loaded, for the log.
    change: ReloadedChange,
    /// The input for the coordinator: endpoints or settings.
    pub(super) input: Input,
    /// The new settings, unless only endpoints changed.
    pub(super) settings: Option<CoordinatorSettings>,
}

/// The change that a reload has loaded.
enum ReloadedChange {
    /// The platform's configuration file.
    Configuration {
        /// The current address of discovery.
        discovery: SocketAddr,
        /// The names of the query classes, separated by spaces.
        classes: String,
    },
    /// The inventory of feature servers.
    Inventory {
        /// The number of servers that it lists.
        servers: usize,
    },
}

impl ReloadedChange {
    /// Logs that the reload succeeded.
    fn log(&self) {
        match self {
            ReloadedChange::Configuration { discovery, classes } => {
                tracing::info!(%discovery, classes, "configuration reloaded");
            }
            ReloadedChange::Inventory { servers } => tracing::info!(servers, "inventory reloaded"),
        }
    }
}

/// Reloads the platform's configuration file: the address of discovery and the settings.
pub(super) struct PlatformReload {
    /// The active configuration file.
    file: ActiveConfig,
    /// The address of discovery in the file. At the start the environment takes precedence over the
    /// file. Once a reloaded file has a new address, that address takes precedence over the
    /// environment, which cannot change.
    discovery_in_file: Option<SocketAddr>,
    source: DiscoverySource,
    catalog: SharedPlatformCatalog,
    metrics: Arc<Metrics>,
}

impl PlatformReload {
    /// Creates the source for the configuration that the process started with. Reloads update
    /// `source` and the catalog.
    pub(super) fn new(
        config: &Config,
        source: DiscoverySource,
        catalog: SharedPlatformCatalog,
        metrics: Arc<Metrics>,
    ) -> Self {
        PlatformReload {
            file: ActiveConfig::from_startup(config),
            discovery_in_file: config.file_discovery,
            source,
            catalog,
            metrics,
        }
    }
}

impl Reload for PlatformReload {
    fn reload(&mut self, _now: Micros) -> Result<Reloaded, ReloadError> {
        let file = self.file.reload().map_err(|e| {
            self.metrics.config_rejected.increment();
            ReloadError::Configuration(e)
        })?;
        self.metrics.config_applied.increment();
        if let Some(discovery) = file.discovery {
            if self.discovery_in_file.replace(discovery) != Some(discovery) {
                self.source.set_address(discovery);
            }
        }
        let settings = file.settings;
        self.source
            .set_max_poll_interval(settings.policy.max_poll_interval);
        *sync::lock(&self.catalog) = PlatformCatalog::new(&settings);
        let classes: Vec<_> = settings
            .policy
            .classes
            .iter()
            .map(|c| c.name.as_str())
            .collect();
        let change = ReloadedChange::Configuration {
            discovery: self.source.address(),
            classes: classes.join(" "),
        };
        let input = Input::Settings {
            settings: Box::new(settings.policy.clone()),
            max_in_flight: settings.max_in_flight,
        };
        Ok(Reloaded {
            change,
            input,
            settings: Some(settings),
        })
    }
}

/// Reloads the inventory of feature servers.
pub(super) struct InventoryReload {
    edge: EdgeConfig,
    catalog: SharedCatalog,
}

impl InventoryReload {
    /// Creates the source for an edge file. Reloads update the catalog.
    pub(super) fn new(edge: EdgeConfig, catalog: SharedCatalog) -> Self {
        InventoryReload { edge, catalog }
    }
}

impl Reload for InventoryReload {
    fn reload(&mut self, now: Micros) -> Result<Reloaded, ReloadError> {
        let inventory = self.edge.load_inventory().map_err(ReloadError::Inventory)?;
        let mut catalog = sync::lock(&self.catalog);
        let update = catalog.load(&inventory, now);
        for CollectionShard {
            collection,
            server_collection,
        } in catalog.unserved_shards()
        {
            tracing::warn!(%collection, shard = %server_collection, "shard without a server");
        }
        let change = ReloadedChange::Inventory {
            servers: update.endpoints.len(),
        };
        Ok(Reloaded {
            change,
            input: Input::EndpointUpdate(update),
            settings: None,
        })
    }
}

#[cfg(test)]
mod tests;
