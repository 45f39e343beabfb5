//! Serving on a platform that brings its own dialect, store and engines.
//!
//! `front` takes a request, `call` decides what becomes of it with the pure
//! functions of `core`, `exchange` sends it to an upstream, `relay` passes a
//! stream on. `sync` follows the platform's store, `membership` keeps this
//! host listed and one host acting, `peers` carries loads and demand between
//! hosts, `acting` plans and the modules of orders
//! place models and adapters.

pub mod acting;
pub mod call;
pub mod demand;
pub mod exchange;
pub mod front;
pub mod logs;
pub mod membership;
pub mod metrics;
pub mod order_adapters;
pub mod order_models;
pub mod orders;
pub mod peer_messages;
pub mod peers;
pub mod place;
pub mod placer;
pub mod platform;
pub mod relay;
pub mod run;
pub mod settings;
pub mod state;
pub mod sync;
