//! HTTP gateway for a platform with its own protocol, store and engines.
//!
//! - `front` accepts requests, `call` executes them with the pure functions of
//!   `core`, `place` and `placer` admit and queue them, `room` asks
//!   whether an engine has room, `exchange` sends one to
//!   an upstream, and `relay` forwards an event stream. `notices` applies what an
//!   upstream states about itself in its responses.
//! - `departures` learns whether upstreams that are missing after an outage have left.
//! - `hedging` sends a second attempt for a request whose first response is late.
//! - `held_up` records requests whose path to an upstream does not answer.
//! - `sync` mirrors the platform's store with `store_facts`, which decodes its keys,
//!   and `store_relay`, which passes changes on between hosts; `membership` registers this host and
//!   elects the acting host with leases of `lease`, `store_era` detects that the store was restored from an
//!   older copy, and `peers` exchanges load and demand between hosts.
//! - `reach` recognises that this host reaches no upstream; `peer_requests` then sends
//!   callers' requests to another host, which receives them in `peer_server`.
//! - `quotas` charges requests to the quotas of their organisations.
//! - `acting` plans the placement of models, `adapter_requests` that of adapters,
//!   `announce` publishes the result, and `orders`, `order_models` and
//!   `order_adapters` carry it out.

pub mod acting;
pub mod adapter_requests;
pub mod announce;
pub mod brittle;
pub mod call;
pub mod crashes;
pub mod demand;
pub mod departures;
pub mod exchange;
pub mod front;
pub mod hedging;
mod held_up;
pub mod incarnations;
pub mod lease;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod notices;
pub mod order_adapters;
pub mod order_models;
pub mod orders;
pub mod peer_messages;
pub mod peer_protocol;
pub mod peer_requests;
pub mod peer_server;
pub mod peers;
pub mod permits;
pub mod place;
pub mod placer;
pub mod platform;
pub mod quarantine;
pub mod questions;
pub mod quotas;
pub mod reach;
pub mod relay;
pub mod resource_metrics;
mod response_limits;
pub mod room;
pub mod run;
pub mod settings;
pub mod shared_places;
mod speeds;
pub mod state;
pub mod stated_origins;
pub mod store_era;
pub mod store_facts;
pub mod store_relay;
pub mod stream_origins;
pub mod stream_queue;
pub mod sync;
