//! Many misbehaving clients at small limits of memory and descriptors, with servers behind and
//! queries in flight.

mod cores;
mod crowd;
mod disconnects;
mod fairness;
mod floods;
mod fronts;
mod memory;
mod other_clients;
mod poll_set;
#[path = "../standin/mod.rs"]
mod standin;
