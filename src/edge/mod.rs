//! Everything that speaks to the outside: callers, upstreams, the platform,
//! operators and peers. No decision is taken here.

pub mod body;
pub mod body_reader;
pub mod caller;
pub mod chat;
pub mod engine;
pub mod kv;
pub mod kv_wire;
pub mod pool;
pub mod server;
