//! Deployments of the platform front: the configuration, and the start of the process.

use super::data_node::{addresses_of, DataNode};
use super::discovery::{
    all_in_service, complete_list, endpoint_list_json, ControlledDiscovery, Discovery, ListKind,
    Watch,
};
use super::process::Process;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The number of nanoseconds, the unit of times in the configuration, in a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;

/// A class of queries in a deployment.
#[derive(Clone, Copy)]
pub struct ClassTemplate {
    name: &'static str,
    /// The effect's name in the configuration.
    effect: &'static str,
    /// The latency objective; `None` stands for that of the deployment.
    latency_objective_ms: Option<u64>,
    /// The minimum share of the parts that an answer needs, from 0 to 1.
    min_share: f64,
}

impl ClassTemplate {
    const fn new(name: &'static str, effect: &'static str) -> ClassTemplate {
        ClassTemplate {
            name,
            effect,
            latency_objective_ms: None,
            min_share: 1.0,
        }
    }
}

/// The classes of [`Deployment::BASIC`].
const BASIC_CLASSES: &[ClassTemplate] = &[
    ClassTemplate::new("lookup", "read_like"),
    ClassTemplate {
        latency_objective_ms: Some(300),
        ..ClassTemplate::new("brief", "read_like")
    },
    ClassTemplate::new("send", "non_idempotent"),
];

/// The classes of [`Deployment::ALL_EFFECTS`].
const ALL_EFFECT_CLASSES: &[ClassTemplate] = &[
    ClassTemplate::new("look", "read_like"),
    ClassTemplate::new("once", "non_idempotent"),
    ClassTemplate {
        min_share: 0.5,
        ..ClassTemplate::new("some", "read_like")
    },
    ClassTemplate::new("key", "idempotency_key"),
];

/// The settings of a deployment that tests choose. A setting that is `None` is left out of the
/// configuration.
#[derive(Clone, Copy)]
pub struct Deployment {
    /// The classes of queries, in the order of the configuration.
    pub classes: &'static [ClassTemplate],
    /// The latency objective of the classes that do not set one. The deadline of each class is
    /// twice its objective.
    pub latency_objective_ms: u64,
    /// The time for which data nodes recognize a repeated part, for all classes.
    pub deduplication_window_ms: Option<u64>,
    /// Whether the discovery agent pushes changes; otherwise it is polled.
    pub push_discovery: bool,
    /// Whether data nodes support the cancellation of attempts.
    pub cancellation: bool,
    /// The maximum number of parts in a call.
    pub max_batch: u32,
    /// The number of shards for each data node.
    pub shards_per_node: usize,
    /// The time within which a connection to a data node must be established.
    pub connect_timeout_ms: Option<u64>,
    /// The time after which an idle connection to a data node is closed.
    pub idle_timeout_ms: Option<u64>,
    /// The process's limit of open file descriptors.
    pub descriptor_limit: usize,
}

impl Deployment {
    /// One shard per data node, and the classes `lookup`, `brief` (short deadline) and `send` (not
    /// idempotent).
    pub const BASIC: Deployment = Deployment {
        classes: BASIC_CLASSES,
        latency_objective_ms: 10_000,
        deduplication_window_ms: None,
        push_discovery: true,
        cancellation: true,
        max_batch: 1,
        shards_per_node: 1,
        connect_timeout_ms: None,
        idle_timeout_ms: None,
        descriptor_limit: 1024,
    };

    /// Four shards per data node, long timeouts, and classes of every effect: `look`, `once` (not
    /// idempotent), `some` (half of the parts suffice) and `key` (idempotency key).
    pub const ALL_EFFECTS: Deployment = Deployment {
        classes: ALL_EFFECT_CLASSES,
        latency_objective_ms: 20_000,
        deduplication_window_ms: Some(400),
        shards_per_node: 4,
        connect_timeout_ms: Some(20_000),
        idle_timeout_ms: Some(60_000),
        ..Deployment::BASIC
    };

    /// Starts the process with these data nodes, and a discovery agent that lists them in service.
    pub fn start(&self, test_name: &str, nodes: &[DataNode]) -> (Process, Discovery) {
        let addresses = addresses_of(nodes);
        let discovery = Discovery::start(complete_list(1, &all_in_service(&addresses)));
        (
            self.start_with_discovery(test_name, discovery.address, &addresses),
            discovery,
        )
    }

    /// Starts the process with a discovery agent at this address. Does not wait until it is ready.
    pub fn start_with_discovery(
        &self,
        test_name: &str,
        discovery: SocketAddr,
        nodes: &[SocketAddr],
    ) -> Process {
        Process::start_platform_front(
            test_name,
            &self.configuration(discovery, nodes),
            self.descriptor_limit,
        )
    }

    /// Starts the process, answers its first watch with a list that has these data nodes in
    /// service, and waits until the process is ready.
    pub fn start_controlled(
        &self,
        test_name: &str,
        discovery: &ControlledDiscovery,
        nodes: &[SocketAddr],
    ) -> (Process, Watch) {
        let process = self.start_with_discovery(test_name, discovery.address(), nodes);
        let watch = discovery.answer_watch(&complete_list(1, &all_in_service(nodes)));
        process.wait_until_ready();
        (process, watch)
    }

    /// Returns the configuration. Its initial endpoint list has these data nodes in service.
    pub fn configuration(&self, discovery: SocketAddr, nodes: &[SocketAddr]) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "1f",
            "mgmt": "127.0.0.1:0",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.descriptor_limit},
            "settings": self.settings(nodes.len()),
            "known": endpoint_list_json(0, ListKind::Complete, &all_in_service(nodes))})
    }

    fn settings(&self, nodes: usize) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|class| self.class_settings(class))
            .collect();
        let mut settings = json!({
            "balancers": 1, "tick": 5 * NANOS_PER_MS,
            "discovery": if self.push_discovery { "push" } else { "ask" },
            "classes": classes,
            "family-info": {"bundle-max": self.max_batch, "cells": nodes, "in-a-row": 2,
                "slices": self.shards_per_node * nodes},
            "limits": {"cancel": self.cancellation, "max-attempts": 4, "retry-after": true,
                "max-retry-after": 500 * NANOS_PER_MS},
        });
        if !self.push_discovery {
            settings["invariants"] = json!({"must-ask-in": 600_000 * NANOS_PER_MS});
        }
        if self.classes.iter().any(|class| class.min_share < 1.0) {
            let shares: Vec<f64> = self.classes.iter().map(|class| class.min_share).collect();
            settings["family-info"]["least-share"] = json!(shares);
        }
        set_time(
            &mut settings["limits"],
            "dial-timeout",
            self.connect_timeout_ms,
        );
        set_time(&mut settings["limits"], "idle-close", self.idle_timeout_ms);
        settings
    }

    fn class_settings(&self, class: &ClassTemplate) -> Value {
        let objective_ms = class
            .latency_objective_ms
            .unwrap_or(self.latency_objective_ms);
        let mut settings = json!({"name": class.name, "effect": class.effect, "aim": objective_ms * NANOS_PER_MS,
            "deadline": 2 * objective_ms * NANOS_PER_MS, "points": 1.0, "late-worth": 0.0});
        set_time(&mut settings, "dedup-window", self.deduplication_window_ms);
        settings
    }
}

/// Sets a time, which the configuration has in nanoseconds, if it is given.
fn set_time(settings: &mut Value, key: &str, milliseconds: Option<u64>) {
    if let Some(milliseconds) = milliseconds {
        settings[key] = json!(milliseconds * NANOS_PER_MS);
    }
}
