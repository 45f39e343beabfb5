//! Keeps the configuration in force.
//!
//! All subtrees are read once, then a watch brings the changes. A lost watch
//! is opened again from the last revision seen; while that fails, a slow poll
//! and the peers' digests bring what the watch would have.

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

/// Prefix of the operators' configuration.
pub const CONFIG_PREFIX: &str = "/currantcove/config/";
/// Prefix of the teams' subtrees.
pub const TEAMS_PREFIX: &str = "/currantcove/config/teams/";
/// Key of the fleet's subtree.
pub const FLEET_KEY: &str = "/currantcove/config/fleet";
/// First pause after a failure; doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Longest life of one watch, after which everything is read again.
const WATCH_LIFE: Duration = Duration::from_mins(1);

/// Service that adopts configuration.
#[derive(Debug)]
pub struct ConfigService {
    host: Rc<Host>,
}

impl ConfigService {
    /// Service over the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }

    /// Offers a subtree that came from the platform or a peer.
    pub fn offer(&self, key: &str, revision: u64, json: &[u8]) {
        if key == FLEET_KEY {
            let adoption = self.host.view.borrow_mut().adopt_fleet(revision, json);
            self.note(None, revision, &adoption);
        } else if let Some(team) = key.strip_prefix(TEAMS_PREFIX) {
            let team = TeamId::new(team);
            let adoption = self
                .host
                .view
                .borrow_mut()
                .adopt_team(&team, revision, json);
            self.note(Some(&team), revision, &adoption);
        }
    }

    /// Takes in the removal of a subtree.
    pub fn remove(&self, key: &str, revision: u64) {
        if let Some(team) = key.strip_prefix(TEAMS_PREFIX) {
            let team = TeamId::new(team);
            let adoption = self.host.view.borrow_mut().remove_team(&team, revision);
            self.note(Some(&team), revision, &adoption);
        }
    }

    fn note(&self, team: Option<&TeamId>, revision: u64, adoption: &Adoption) {
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
        let mut gone: Vec<TeamId> = self.host.view.borrow().teams().keys().cloned().collect();
        for kv in &snapshot.kvs {
            gone.retain(|t| kv.key.strip_prefix(TEAMS_PREFIX) != Some(t.as_str()));
            self.offer(&kv.key, kv.mod_revision, &kv.value);
        }
        for team in gone {
            self.remove(&format!("{TEAMS_PREFIX}{team}"), snapshot.revision);
        }
        self.host
            .view
            .borrow_mut()
            .record_full_read(snapshot.revision);
    }

    async fn follow(&self) -> Result<(), KvError> {
        let snapshot = self.host.kv.list(CONFIG_PREFIX).await?;
        self.host.note_platform(true);
        self.adopt_snapshot(&snapshot);
        let mut watch = self
            .host
            .kv
            .watch(CONFIG_PREFIX, snapshot.revision + 1)
            .await?;
        let until = std::time::Instant::now() + WATCH_LIFE;
        while let Ok(changes) = compio::time::timeout_at(until, watch.next()).await {
            for change in changes? {
                match change {
                    Change::Put(kv) => self.offer(&kv.key, kv.mod_revision, &kv.value),
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
        let mut pause = FIRST_PAUSE;
        let follow_on = async {
            loop {
                if self.follow().await.is_ok() {
                    pause = FIRST_PAUSE;
                    continue;
                }
                self.host.note_platform(false);
                // Jitter keeps a fleet that lost the service together from
                // coming back together.
                let jitter_ms = rng.below(pause.as_millis() as usize) as u64;
                compio::time::sleep(pause / 2 + Duration::from_millis(jitter_ms)).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        };
        let _ = cancel.run_until_cancelled(follow_on).await;
    }
}
