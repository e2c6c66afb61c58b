//! Stand-ins, load and checks for quinceflow.
fn main() {}
