//! Many misbehaving clients at small limits of memory and descriptors, with servers behind and
//! queries in flight.

mod crowd;
mod disconnects;
mod fairness;
mod fronts;
mod memory;
#[path = "../standin/mod.rs"]
mod standin;
