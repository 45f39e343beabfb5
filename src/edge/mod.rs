//! Network interfaces to callers, upstreams, the platform, operators and peers.
//!
//! The modules transport and decode messages, and make no decisions.

pub mod body;
pub mod body_reader;
pub mod caller;
pub mod chat;
pub mod connection;
pub mod engine;
pub mod kv;
pub mod kv_wire;

pub mod path_check;
pub mod pool;
pub mod resources;
pub mod response_reader;
pub mod server;
pub mod signals;
pub mod wire;
