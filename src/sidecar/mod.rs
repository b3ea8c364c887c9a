//! The sidecar: a router process next to each upstream of a mesh, coordinated
//! through a shared store.
//!
//! Callers on the VM and the upstream itself send their requests to the entry
//! of the local sidecar ([`dispatch`]). The entry matches a route, selects the
//! sidecar whose upstream is to run the request, and forwards it there. That
//! sidecar ([`owner`]) queues the request by rank and latency target and runs
//! it on its local upstream. No other sidecar talks to that upstream, so its
//! slots, its draining and its key ranges are each enforced in one place.
//!
//! * [`fleet`]: the newest known configuration, range map, orders to evacuate and members.
//! * [`follow`]: keeps that state up to date from the store, and from peers
//!   while the store is unreachable.
//! * [`gossip`]: status reports and lease votes between sidecars.
//! * [`controller`]: acquires, serves and hands over key ranges.
//! * [`reconcile`]: decides which change of the range map is due.
//! * [`moves`]: tracks a planned move of ranges to other sidecars.
//! * [`departures`]: remembers across restarts which upstreams leave.
//! * [`evacuation`]: takes the local upstream out of service while its failure domain is
//!   evacuated.
//! * [`upstream`]: state of the local upstream; [`upstream_client`]: the calls made to it.
//! * [`upstream_pace`]: how long work takes at the local upstream.
//! * `upstream_follower`: applies that state to the slot queue.
//! * [`retry_policy`] and [`retry_budget`]: when a failed attempt is retried,
//!   and how many retries this sidecar may send.
//! * [`crash_watch`]: notices crashes of the local upstream.
//! * [`quarantine`]: keeps requests that crash upstreams away from further ones.
//! * [`start_read`]: what a sidecar reads in the store when it starts.
//! * [`process`]: start and shutdown.
//!
//! Unlike [`crate::node`], a sidecar relies on the store for conditional
//! appends and for the newest record of each key, so it needs no folded log,
//! no log snapshots and no planner term.

mod cold_upstream;
mod conditions;
pub mod controller;
pub mod crash_watch;
pub mod departures;
pub mod dispatch;
pub mod evacuation;
pub mod fleet;
pub mod follow;
pub mod gossip;
mod links;
pub mod metrics;
pub mod moves;
pub mod owner;
pub mod process;
pub mod quarantine;
pub mod reconcile;
pub mod retry_budget;
pub mod retry_policy;
pub mod settings;
pub mod start_read;
pub mod upstream;
pub mod upstream_client;
mod upstream_follower;
pub mod upstream_pace;
