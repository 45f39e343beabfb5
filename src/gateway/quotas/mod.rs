//! Quotas of organisations, kept by all hosts together.
//!
//! - `desk` charges requests: it asks the keeper of an organisation's account, and answers
//!   for the accounts that this host keeps (`core::quota_account`).
//! - `messages` has what hosts tell one another.
//! - `metrics` counts requests by organisation and result.
//! - `service` renews the delegation of this host's share (`core::quota_share`) while the
//!   configuration has quotas.
//! - `charge` is the credit that one request has taken.

mod charge;
mod desk;
pub mod messages;
mod metrics;
mod service;

pub use charge::{QuotaCharge, QuotaRefusal};
pub use desk::{QuotaDesk, QuotaFleet};
pub use metrics::QuotaMetrics;
pub use service::QuotaService;
