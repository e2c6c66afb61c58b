//! Connections to data nodes: random steps against a model of their state, and particular cases.

mod cases;
mod model;
mod short_lengths;
mod wire;
