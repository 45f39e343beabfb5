//! Serves many models on fewer accelerators.
//!
//! `core` makes the decisions without I/O or a clock, `kernel` runs services on
//! one event loop, `services` execute the decisions of `core`, and `edge`
//! implements HTTP and WebSocket connections to other processes. `gateway` is the
//! HTTP gateway for a platform with its own protocol, store and engines.

pub mod core;
pub mod daemon;
pub mod edge;
pub mod gateway;
pub mod kernel;
pub mod services;
pub mod settings;
