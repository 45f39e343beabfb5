//! Serves many models on fewer accelerators.
//!
//! `core` decides, `kernel` runs services on one loop, `services` connect the
//! two, and `edge` speaks HTTP and websockets to everything outside.
//! `gateway` serves on a platform that brings its own dialect.

pub mod core;
pub mod daemon;
pub mod edge;
pub mod gateway;
pub mod kernel;
pub mod services;
pub mod settings;
