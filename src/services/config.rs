//! Keeps the active configuration up to date.
//!
//! All subtrees are read, then a watch delivers the changes after that
//! revision. When the watch fails or expires, everything is read again and a
//! new watch is opened, with a backoff after failures. Until that succeeds,
//! the exchange of configuration digests between peers delivers the changes.

use std::rc::Rc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::host::Host;
use crate::core::ids::TeamId;
use crate::core::routing::Rng;
use crate::core::timeline::{EventKind, Subject};
use crate::core::view::Adoption;
use crate::edge::kv::{Change, KvError, KvStore, Snapshot};
use crate::kernel::Service;

/// Prefix of the keys of the configuration.
pub const CONFIG_PREFIX: &str = "/currantcove/config/";
/// Prefix of the keys of the teams' subtrees.
pub const TEAMS_PREFIX: &str = "/currantcove/config/teams/";
/// Key of the fleet's subtree.
pub const FLEET_KEY: &str = "/currantcove/config/fleet";
/// Backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Age at which a watch is closed and everything is read again.
const MAX_WATCH_AGE: Duration = Duration::from_mins(1);

/// Service that reads, watches and adopts the configuration.
#[derive(Debug)]
pub struct ConfigService {
    host: Rc<Host>,
}

impl ConfigService {
    /// Creates the service on the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }

    /// Adopts a subtree received from the platform or a peer, if it is valid
    /// and newer than the active one.
    pub fn adopt(&self, key: &str, revision: u64, json: &[u8]) {
        if key == FLEET_KEY {
            let adoption = self
                .host
                .active_config
                .borrow_mut()
                .adopt_fleet(revision, json);
            self.record_adoption(None, revision, &adoption);
        } else if let Some(team) = key.strip_prefix(TEAMS_PREFIX) {
            let team = TeamId::new(team);
            let adoption = self
                .host
                .active_config
                .borrow_mut()
                .adopt_team(&team, revision, json);
            self.record_adoption(Some(&team), revision, &adoption);
        }
    }

    /// Removes a team whose subtree was deleted at `revision`.
    pub fn remove(&self, key: &str, revision: u64) {
        if let Some(team) = key.strip_prefix(TEAMS_PREFIX) {
            let team = TeamId::new(team);
            let adoption = self
                .host
                .active_config
                .borrow_mut()
                .remove_team(&team, revision);
            self.record_adoption(Some(&team), revision, &adoption);
        }
    }

    fn record_adoption(&self, team: Option<&TeamId>, revision: u64, adoption: &Adoption) {
        let subject = Subject {
            team,
            ..Subject::default()
        };
        let path = team.map_or("fleet", TeamId::as_str);
        match adoption {
            Adoption::Stale => {}
            Adoption::Adopted => {
                self.host.is_configured.set(true);
                tracing::info!(path, revision, "configuration adopted");
                self.host
                    .record(subject, EventKind::ConfigAdopted { revision });
            }
            Adoption::Invalid(findings) => {
                for finding in findings {
                    tracing::warn!(path, revision, %finding, "configuration refused");
                }
                let findings = findings.len();
                self.host
                    .record(subject, EventKind::ConfigRefused { revision, findings });
            }
        }
    }

    fn adopt_snapshot(&self, snapshot: &Snapshot) {
        let mut removed: Vec<TeamId> = self
            .host
            .active_config
            .borrow()
            .teams()
            .keys()
            .cloned()
            .collect();
        for kv in &snapshot.kvs {
            removed.retain(|t| kv.key.strip_prefix(TEAMS_PREFIX) != Some(t.as_str()));
            self.adopt(&kv.key, kv.mod_revision, &kv.value);
        }
        for team in removed {
            self.remove(&format!("{TEAMS_PREFIX}{team}"), snapshot.revision);
        }
        self.host
            .active_config
            .borrow_mut()
            .record_full_read(snapshot.revision);
    }

    async fn list_and_watch(&self) -> Result<(), KvError> {
        let snapshot = self.host.kv.list(CONFIG_PREFIX).await?;
        self.host.record_platform_state(true);
        self.adopt_snapshot(&snapshot);
        let mut watch = self
            .host
            .kv
            .watch(CONFIG_PREFIX, snapshot.revision + 1)
            .await?;
        let expires_at = std::time::Instant::now() + MAX_WATCH_AGE;
        while let Ok(changes) = compio::time::timeout_at(expires_at, watch.next()).await {
            for change in changes? {
                match change {
                    Change::Put(kv) => self.adopt(&kv.key, kv.mod_revision, &kv.value),
                    Change::Delete { key, mod_revision } => self.remove(&key, mod_revision),
                }
            }
        }
        Ok(())
    }
}

impl Service for ConfigService {
    const NAME: &'static str = "config";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let mut rng = Rng::new(self.host.rng.borrow_mut().next_u64());
        let mut backoff = INITIAL_BACKOFF;
        let watch_loop = async {
            loop {
                if self.list_and_watch().await.is_ok() {
                    backoff = INITIAL_BACKOFF;
                    continue;
                }
                self.host.record_platform_state(false);
                // Jitter spreads the retries of hosts that lost the service at
                // the same time.
                let jitter_ms = rng.below(backoff.as_millis() as usize) as u64;
                compio::time::sleep(backoff / 2 + Duration::from_millis(jitter_ms)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        };
        let _ = cancel.run_until_cancelled(watch_loop).await;
    }
}
