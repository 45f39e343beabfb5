//! Decision logic, without I/O or access to a clock.
//!
//! Every decision is a function of the time, the state and one input. The
//! daemon, the tests and the model checker run the same code. Randomness comes
//! from a seeded generator that the caller passes in.

pub mod adapters;
pub mod admission;
pub mod attestation;
pub mod balance;
pub mod brittle_notice;
pub mod catalog;
pub mod claim;
pub mod config;
pub mod copies;
mod copy_planner;
pub mod crash_ledger;
pub mod demand_rate;
pub mod departures;
pub mod engine_ledger;
pub mod engine_order;
pub mod engine_room;
pub mod engine_work;
pub mod event_progress;
pub mod execution;
pub mod features;
pub mod first_arrival;
pub mod first_responses;
pub mod fleet;
pub mod hedge;
pub mod ids;
pub mod ledger;
pub mod load;
pub mod log_trace;
pub mod membership;

pub mod open_places;
pub mod organisations;
pub mod outcome;
pub mod pacing;
pub mod path_watch;
pub mod peer_list;
pub mod peer_loads;
pub mod peer_selection;
pub mod place_account;
pub mod placement;
pub mod process_span;
pub mod quarantine;
pub mod quota_account;
pub mod quota_credit;
pub mod quota_share;
pub mod rate;
pub mod rate_account;
pub mod reach;
pub mod registry;
pub mod rendezvous;
pub mod request_traits;
pub mod resource_account;
pub mod retry;
pub mod routing;
pub mod shared_account;
pub mod shared_places;
pub mod silence;
pub mod slots;
pub mod software;
pub mod sound_responses;
pub mod speed;
pub mod stated;
pub mod store_era;
pub mod store_relay;
pub mod stream_continuation;
pub mod stream_origin;
pub mod timeline;
pub mod upstream_notice;
pub mod upstream_rate;
pub mod view;
pub mod waiting;
pub mod write_times;
