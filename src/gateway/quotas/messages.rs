//! Messages between hosts and the keepers of their shares, as encoded on the wire.

use serde::{Deserialize, Serialize};

use crate::core::ids::{HostId, OrganisationId};
use crate::core::quota_account::{Ask, Asker, GroupMask, QuotaAnswer, QuotaLimit, Refund, Stamp};

/// Questions on the account of one organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountQuestions {
    /// Organisation.
    #[serde(rename = "o")]
    pub organisation: OrganisationId,
    /// Its quota, as the sender knows it.
    #[serde(rename = "l")]
    pub limit: QuotaLimit,
    /// Questions.
    #[serde(rename = "a")]
    pub asks: Vec<Ask>,
}

/// Delegation and questions of a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaMessage {
    /// Sender.
    #[serde(rename = "h")]
    pub asker: Asker,
    /// Number of hosts that it knows.
    #[serde(rename = "n")]
    pub known_hosts: u32,
    /// Latest stamp of the keeper; without one the keeper only answers with its stamp.
    #[serde(rename = "e")]
    pub stamp: Option<Stamp>,
    /// Groups that are delegated to the keeper.
    #[serde(rename = "d")]
    pub groups: GroupMask,
    /// Questions by organisation.
    #[serde(rename = "q", default)]
    pub questions: Vec<AccountQuestions>,
    /// Credit that is given back.
    #[serde(rename = "r", default)]
    pub refunds: Vec<(OrganisationId, Refund)>,
}

/// Answer of a keeper.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaReply {
    /// Keeper.
    #[serde(rename = "h")]
    pub keeper: HostId,
    /// Its time.
    #[serde(rename = "e")]
    pub stamp: Stamp,
    /// Number of hosts that delegate to it.
    #[serde(rename = "n")]
    pub heard_hosts: u32,
    /// Answers by ticket.
    #[serde(rename = "a", default)]
    pub answers: Vec<(u64, QuotaAnswer)>,
}
