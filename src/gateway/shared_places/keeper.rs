//! Accounts that this host keeps, and who keeps those of other upstreams.

use super::super::peer_messages::{PeerMessage, SharedPlaceMessage, SharedPlacesMessage};
use super::super::peers::datagram_chunk;
use super::super::platform::Platform;
use super::super::state::Gateway;
use crate::core::engine_room::keeper_of;
use crate::core::features::Feature;
use crate::core::ids::{HostId, UpstreamId};
use crate::core::load::InFlight;
use crate::core::place_account::RoomCut;
use crate::core::shared_account::{Grant, KeeperCandidate, shared_keeper_of};

impl<P: Platform> Gateway<P> {
    /// Host that keeps the account of an upstream.
    pub(super) fn shared_keeper(&self, upstream: &UpstreamId) -> Option<HostId> {
        let registry = self.registry.borrow();
        let zone = &registry.get(upstream.as_str())?.zone;
        let peers = self.peers.borrow();
        let takes_part = peers.listed().filter(|(_, p)| p.has(Feature::SharedPlaces));
        let candidates: Vec<KeeperCandidate<'_>> = takes_part
            .map(|(host, peer)| KeeperCandidate {
                host,
                cpu_milli: peer.cpu_milli,
                is_near: peer.zone() == Some(zone.as_str()),
            })
            .collect();
        shared_keeper_of(upstream, &candidates).cloned()
    }

    /// Requests at an upstream of hosts that report no places, by their loads.
    fn unreported_requests(&self, upstream: &UpstreamId) -> u32 {
        let (now_ms, peers) = (self.now_ms(), self.peers.borrow());
        let loads = self.peer_loads.borrow();
        let older = peers
            .listed()
            .filter(|(_, p)| !p.has(Feature::SharedPlaces));
        let requests =
            older.map(|(host, _)| loads.recent_from_host(now_ms, host, upstream).requests);
        requests.sum()
    }

    /// Passes the loads of a host that reports no places on to the keepers of shared
    /// upstreams. Such a host tells them to the keepers of its release.
    pub fn pass_loads_to_keepers(
        &self,
        host: &HostId,
        started_ms: u64,
        in_flight: &[(UpstreamId, InFlight)],
    ) {
        let own = &self.settings().host;
        let is_older = {
            let peers = self.peers.borrow();
            let peer = peers.get_listed(host);
            peer.is_some_and(|p| !p.has(Feature::SharedPlaces))
        };
        if !is_older || !self.is_large_fleet() {
            return;
        }
        for load in in_flight {
            let is_told = {
                let peers = self.peers.borrow();
                keeper_of(
                    &load.0,
                    peers.listed().map(|(host, peer)| (host, peer.cpu_milli)),
                ) == Some(own)
            };
            if !is_told || self.shared(&load.0).is_none() {
                continue;
            }
            if let Some(keeper) = self.shared_keeper(&load.0).filter(|k| k != own) {
                let message = PeerMessage::Loads {
                    host: host.clone(),
                    started_ms,
                    in_flight: datagram_chunk(std::slice::from_ref(load), 0),
                    paces: Vec::new(),
                };
                self.send_to_host(&keeper, &message);
            }
        }
    }

    /// Applies a report to an account that this host keeps, and answers its question.
    pub fn apply_shared_report(&self, message: SharedPlacesMessage) {
        let SharedPlacesMessage { report, ticket } = message;
        let now_ms = self.now_ms();
        let unreported = self.unreported_requests(&report.upstream);
        let outcome = {
            let mut accounts = self.shared_places.accounts.borrow_mut();
            accounts.on_report(now_ms, &report, unreported)
        };
        if let Some(RoomCut { from, to }) = outcome.cut {
            let upstream = &report.upstream;
            tracing::info!(event = "upstream", upstream = %upstream, change = "places_withdrawn", from, to);
            self.metrics.shared_places.withdrawn.inc();
        }
        let mut ticket = ticket;
        for grant in &outcome.grants {
            let answers = ticket.take_if(|_| grant.host == report.host);
            self.send_grant(&report.upstream, grant, answers);
        }
        if ticket.is_some() {
            self.send_place_news(&report.upstream, &report.host, ticket, None);
        }
        self.shared_places.wake.notify_one();
    }

    fn send_grant(&self, upstream: &UpstreamId, grant: &Grant, ticket: Option<u64>) {
        self.metrics.shared_places.granted.inc();
        self.send_place_news(upstream, &grant.host, ticket, Some(grant.number));
    }

    fn send_place_news(
        &self,
        upstream: &UpstreamId,
        host: &HostId,
        ticket: Option<u64>,
        grant: Option<u64>,
    ) {
        let news = {
            let accounts = self.shared_places.accounts.borrow();
            accounts.news(self.now_ms(), upstream, host)
        };
        let keeper = self.settings().host.clone();
        let is_own = *host == keeper;
        let message = SharedPlaceMessage {
            keeper,
            upstream: upstream.clone(),
            ticket,
            grant,
            others: news.others,
            ahead: news.ahead,
        };
        if is_own {
            self.apply_shared_place(&message);
        } else {
            self.send_to_host(host, &PeerMessage::SharedPlace(message));
        }
    }

    /// Grants places that became free without a report.
    pub(super) fn grant_free_places(&self) {
        let now_ms = self.now_ms();
        let grants = self.shared_places.accounts.borrow_mut().grant_free(now_ms);
        for (upstream, grant) in grants {
            self.send_grant(&upstream, &grant, None);
        }
    }
}
