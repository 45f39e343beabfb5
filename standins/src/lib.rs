//! Stand-ins for the systems around currantcove, a load generator, and a
//! harness that starts a deployment on loopback.
//!
//! One process runs all stand-ins of a plan. Faults are injected at run time
//! through its control address.

pub mod client;
pub mod compare;
pub mod control;
pub mod deployment;
pub mod engine;
pub mod fake_engines;
pub mod host_list;
pub mod http;
pub mod kv;
pub mod kv_store;
pub mod load;
pub mod plan;
pub mod policy;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod scenario_real;
pub mod scenario_virtual;
pub mod serve;
pub mod service;
pub mod shapes;
pub mod store;
