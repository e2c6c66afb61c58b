//! Reloading what may change while the process runs, on SIGHUP.

use super::ReloadError;
use crate::coordinator::{Input, Metrics};
use crate::front::ogc::config::EdgeConfig;
use crate::front::ogc::SharedCatalog;
use crate::front::platform::{PlatformCatalog, SharedPlatformCatalog};
use crate::net::config::{ActiveConfig, Config};
use crate::net::watch::DiscoverySource;
use crate::settings::CoordinatorSettings;
use crate::sync;
use crate::time::Micros;
use std::net::SocketAddr;
use std::sync::Arc;

/// The configuration of a service that can be reloaded.
pub(super) trait Reload: Send {
    /// Loads it again. An error changes nothing.
    fn reload(&mut self, now: Micros) -> Result<Reloaded, ReloadError>;
}

/// What a reload brought.
pub(super) struct Reloaded {
    /// The line to be logged.
    pub(super) message: String,
    /// The change for the coordinator: endpoints or settings.
    pub(super) input: Input,
    /// The new settings, unless only endpoints changed.
    pub(super) settings: Option<CoordinatorSettings>,
}

/// Reloads the platform's configuration file: the address of discovery and the settings.
pub(super) struct PlatformReload {
    file: ActiveConfig,
    /// The address of discovery in the file. At the start the environment takes precedence over it; a new address in a
    /// reloaded file takes precedence over the environment, which cannot change.
    discovery_in_file: Option<SocketAddr>,
    source: DiscoverySource,
    catalog: SharedPlatformCatalog,
    metrics: Arc<Metrics>,
}

impl PlatformReload {
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
            ReloadError::Configuration(e.into())
        })?;
        self.metrics.config_applied.increment();
        if self.discovery_in_file.replace(file.discovery) != Some(file.discovery) {
            self.source.set_address(file.discovery);
        }
        let settings = file.settings;
        self.source.set_max_poll_interval(settings.policy.max_poll_interval);
        *sync::lock(&self.catalog) = PlatformCatalog::new(&settings);
        let classes: Vec<_> = settings.policy.classes.iter().map(|c| c.name.as_str()).collect();
        let message = format!(
            "the configuration is read anew: discovery is at {}, classes {}",
            self.source.address(),
            classes.join(" ")
        );
        let input = Input::Settings {
            settings: Box::new(settings.policy.clone()),
            max_in_flight: settings.max_in_flight,
        };
        Ok(Reloaded { message, input, settings: Some(settings) })
    }
}

/// Reloads the inventory of feature servers.
pub(super) struct InventoryReload {
    edge: EdgeConfig,
    catalog: SharedCatalog,
}

impl InventoryReload {
    pub(super) fn new(edge: EdgeConfig, catalog: SharedCatalog) -> Self {
        InventoryReload { edge, catalog }
    }
}

impl Reload for InventoryReload {
    fn reload(&mut self, now: Micros) -> Result<Reloaded, ReloadError> {
        let servers = self.edge.load_inventory().map_err(ReloadError::Inventory)?;
        let update = sync::lock(&self.catalog).load(&servers, now);
        let message = format!("the inventory is loaded anew: {} servers", update.endpoints.len());
        Ok(Reloaded { message, input: Input::EndpointUpdate(update), settings: None })
    }
}
