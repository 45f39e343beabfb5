//! Services of an entry host.
//!
//! Each service has one responsibility and one task. The services share
//! [`host::Host`], the state of the process, and delegate every decision to
//! `core`.

pub mod callers;
pub mod claims;
pub mod clock;
pub mod config;
pub mod dispatch;
pub mod host;
pub mod host_list;
pub mod metrics;
pub mod observation_publisher;
pub mod operators;
pub mod peers;
pub mod placer;
pub mod store_slots;
pub mod stream;
