//! Subcommands of `currantcove`, one module each.

pub mod bench;
pub mod check;
pub mod config;
pub mod drain;
pub mod explain;
pub mod models;
pub mod status;
pub mod timeline;
pub mod upstreams;
