//! Replays the load of a plain service that many hosts share.
//!
//! Load pattern: 89 hosts send to three upstreams whose requests take 30 ms. Each
//! host sees one in 89 of the requests itself; the others reach it as sums that are
//! tenths of a second old.

mod common;

use common::entry;
use currantcove::core::balance::{NoUpstream, Requirements, UpstreamFilter, select_upstream};
use currantcove::core::ids::{HostId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::load::{AttemptOutcome, InFlight, LoadTable, RequestSize, SentRequest};
use currantcove::core::peer_loads::PeerLoads;
use currantcove::core::registry::Registry;
use currantcove::core::routing::Rng;

const HOSTS: usize = 89;
const UPSTREAMS: usize = 3;
const SLOTS: u32 = 6;
/// Requests that an upstream queues beyond its slots.
const UPSTREAM_QUEUE: usize = 4;
const RUN_MS: u64 = 30;
const OBJECTIVE_MS: u64 = 150;
const REPORT_INTERVAL_MS: u64 = 700;
const DURATION_MS: u64 = 20_000;

struct Running {
    host: usize,
    sent: SentRequest,
    ends_ms: u64,
}

struct Host {
    id: HostId,
    loads: LoadTable,
    reported: Vec<(UpstreamId, InFlight)>,
}

struct Fleet {
    registry: Registry,
    hosts: Vec<Host>,
    peer_loads: PeerLoads,
    running: Vec<Running>,
    rng: Rng,
    in_time: u32,
    arrived: u32,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut registry = Registry::default();
        let entries = (0..UPSTREAMS)
            .map(|u| entry(&format!("u{u}"), "bookings", SLOTS))
            .collect();
        registry.replace(entries, None, 0);
        let host = |i: usize| Host {
            id: HostId::new(&format!("h{i}")),
            loads: LoadTable::default(),
            reported: Vec::new(),
        };
        Self {
            registry,
            hosts: (0..HOSTS).map(host).collect(),
            peer_loads: PeerLoads::default(),
            running: Vec::new(),
            rng: Rng::new(seed),
            in_time: 0,
            arrived: 0,
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        self.arrived += 1;
        let host = self.rng.below(HOSTS);
        let requirements = Requirements {
            service: ServiceId::new("bookings"),
            weights: None,
            size: RequestSize::default(),
            cache_tokens: u64::MAX,
            max_prefill_ms: f64::MAX,
        };
        let loads = &mut self.hosts[host].loads;
        let selected: Result<UpstreamId, NoUpstream> = select_upstream(
            now_ms,
            &self.registry,
            loads,
            &ZoneId::new("a"),
            &requirements,
            &UpstreamFilter::default(),
            &mut self.rng,
        );
        let Ok(upstream) = selected else {
            return;
        };
        let sent = loads.on_sent(now_ms, &upstream, requirements.size);
        let mut ends_ms: Vec<u64> = self
            .running
            .iter()
            .filter(|r| r.sent.upstream == upstream)
            .map(|r| r.ends_ms)
            .collect();
        if ends_ms.len() >= SLOTS as usize + UPSTREAM_QUEUE {
            loads.on_end(now_ms, &sent, AttemptOutcome::Neutral);
            return;
        }
        // It starts when all but the requests of the other slots have ended.
        ends_ms.sort_unstable();
        let waits_for = ends_ms.len().checked_sub(SLOTS as usize);
        let starts_ms = waits_for.map_or(now_ms, |i| ends_ms[i]);
        let ends_ms = starts_ms + RUN_MS;
        if ends_ms <= now_ms + OBJECTIVE_MS {
            self.in_time += 1;
        }
        self.running.push(Running {
            host,
            sent,
            ends_ms,
        });
    }

    fn end_requests(&mut self, now_ms: u64) {
        let hosts = &mut self.hosts;
        self.running.retain_mut(|r| {
            if now_ms < r.ends_ms {
                return true;
            }
            let loads = &mut hosts[r.host].loads;
            loads.on_first_response(now_ms, &mut r.sent);
            loads.on_end(now_ms, &r.sent, AttemptOutcome::Succeeded);
            false
        });
    }

    fn exchange_loads(&mut self, now_ms: u64) {
        for host in &mut self.hosts {
            host.reported = host.loads.take_changed();
            self.peer_loads
                .apply_report(now_ms, &host.id, 1, &host.reported);
        }
        let totals = self
            .peer_loads
            .digest(now_ms, self.registry.entries().map(|e| &e.id));
        for host in &mut self.hosts {
            for (id, total) in &totals {
                let own = self.peer_loads.from_host(&host.id, id);
                host.loads.set_remote(now_ms, id, total.minus(own));
            }
        }
    }

    /// Share of the requests that end within the objective, at `per_s` requests a
    /// second.
    fn replay(mut self, per_s: usize) -> f64 {
        for now_ms in 0..DURATION_MS {
            self.end_requests(now_ms);
            if now_ms % REPORT_INTERVAL_MS == 0 {
                self.exchange_loads(now_ms);
            }
            for _ in 0..2 {
                if self.rng.below(2_000) < per_s {
                    self.arrive(now_ms);
                }
            }
        }
        f64::from(self.in_time) / f64::from(self.arrived)
    }
}

/// Guards against hosts that all take a shared service for full at once, and later
/// all for empty, because they count requests that ended long ago.
#[test]
fn shared_service_near_its_capacity_serves_most_requests() {
    // The upstreams end 600 requests a second.
    let shares = [1, 2, 3].map(|seed| Fleet::new(seed).replay(520));

    assert!(shares.iter().all(|s| *s > 0.85), "{shares:?}");
}

#[test]
fn overloaded_shared_service_is_kept_busy() {
    let shares = [1, 2, 3].map(|seed| Fleet::new(seed).replay(900));

    // 600 of 900 requests a second can be served.
    assert!(shares.iter().all(|s| *s > 0.55), "{shares:?}");
}

#[test]
fn digest_tells_that_an_upstream_has_become_idle() {
    let busy = InFlight {
        requests: 9,
        ..InFlight::default()
    };
    let id = UpstreamId::new("u0");
    let host = HostId::new("h0");
    let mut peer_loads = PeerLoads::default();
    peer_loads.apply_report(0, &host, 1, &[(id.clone(), busy)]);

    peer_loads.apply_report(100, &host, 1, &[(id.clone(), InFlight::default())]);
    let digest = peer_loads.digest(100, [&id].into_iter());

    assert_eq!(digest, [(id, InFlight::default())]);
}
