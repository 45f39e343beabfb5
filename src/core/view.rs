//! The configuration in force, indexed for request processing.
//!
//! A subtree is adopted only if it is valid and its revision is greater than
//! the one in force. An invalid subtree leaves the last valid one in force and
//! affects no other team.

use std::collections::{BTreeMap, HashMap};

use super::config::{Finding, FleetConfig, TeamConfig, parse_fleet, parse_team};
use super::ids::{ArtifactId, TeamId};

/// Subtree of one team, with its revision.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// Revision of the value in the platform's key-value service.
    pub revision: u64,
    /// Bytes of the adopted value, as exchanged between peers.
    pub json: Vec<u8>,
    /// Parsed settings.
    pub config: TeamConfig,
}

/// Subtree in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Subtree<'a> {
    /// `fleet`, or `teams/<team>`.
    pub path: String,
    /// Revision.
    pub revision: u64,
    /// Value.
    pub json: &'a [u8],
}

/// Result of adopting a subtree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Adoption {
    /// The subtree is now in force.
    Adopted,
    /// The subtree is not newer than the one in force.
    Stale,
    /// The subtree is invalid; the last valid one stays in force.
    Invalid(Vec<Finding>),
}

/// All subtrees in force.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    teams: BTreeMap<TeamId, TeamEntry>,
    removed: BTreeMap<TeamId, u64>,
    by_credential: HashMap<[u8; 32], TeamId>,
    fleet: FleetConfig,
    fleet_revision: u64,
    fleet_json: Vec<u8>,
    /// Revision of the newest full read; a team missing from it was deleted.
    read_revision: u64,
    rejected: BTreeMap<TeamId, (u64, Vec<Finding>)>,
}

impl ActiveConfig {
    /// Adopts a team's subtree if it is valid and `revision` is newer than the
    /// one in force.
    pub fn adopt_team(&mut self, team: &TeamId, revision: u64, json: &[u8]) -> Adoption {
        if revision <= self.revision(team) {
            return Adoption::Stale;
        }
        let config = match parse_team(team.as_str(), json) {
            Ok(config) => config,
            Err(findings) => {
                self.rejected
                    .insert(team.clone(), (revision, findings.clone()));
                return Adoption::Invalid(findings);
            }
        };
        self.rejected.remove(team);
        self.removed.remove(team);
        let entry = TeamEntry {
            revision,
            json: json.to_vec(),
            config,
        };
        self.teams.insert(team.clone(), entry);
        self.index_credentials();
        Adoption::Adopted
    }

    /// Removes a team whose value was deleted at `revision`, unless a newer
    /// revision is in force.
    pub fn remove_team(&mut self, team: &TeamId, revision: u64) -> Adoption {
        if revision <= self.revision(team) {
            return Adoption::Stale;
        }
        self.teams.remove(team);
        self.removed.insert(team.clone(), revision);
        self.index_credentials();
        Adoption::Adopted
    }

    /// Adopts the fleet's subtree if it is valid and `revision` is newer than
    /// the one in force.
    pub fn adopt_fleet(&mut self, revision: u64, json: &[u8]) -> Adoption {
        if revision <= self.fleet_revision {
            return Adoption::Stale;
        }
        match parse_fleet(json) {
            Ok(fleet) => {
                self.fleet = fleet;
                self.fleet_revision = revision;
                self.fleet_json = json.to_vec();
                Adoption::Adopted
            }
            Err(findings) => Adoption::Invalid(findings),
        }
    }

    /// Revision of a team's subtree in force, or of its removal.
    pub fn revision(&self, team: &TeamId) -> u64 {
        let live = self.teams.get(team).map(|t| t.revision);
        let removed = self.removed.get(team).copied();
        live.or(removed).unwrap_or(self.read_revision)
    }

    /// Records a full read at a revision. A team that is unknown after it was
    /// removed earlier, so older subtrees of it from peers are stale.
    pub fn record_full_read(&mut self, revision: u64) {
        self.read_revision = self.read_revision.max(revision);
    }

    /// All subtrees in force, for exchange between peers.
    pub fn subtrees(&self) -> impl Iterator<Item = Subtree<'_>> {
        let fleet = Subtree {
            path: "fleet".to_owned(),
            revision: self.fleet_revision,
            json: &self.fleet_json,
        };
        let teams = self.teams.iter().map(|(team, entry)| Subtree {
            path: format!("teams/{team}"),
            revision: entry.revision,
            json: &entry.json,
        });
        std::iter::once(fleet)
            .filter(|f| f.revision > 0)
            .chain(teams)
    }

    /// Subtrees in force, by team.
    pub fn teams(&self) -> &BTreeMap<TeamId, TeamEntry> {
        &self.teams
    }

    /// Revision and findings of each team's newest rejected subtree.
    pub fn rejected(&self) -> &BTreeMap<TeamId, (u64, Vec<Finding>)> {
        &self.rejected
    }

    /// Fleet settings in force.
    pub fn fleet(&self) -> &FleetConfig {
        &self.fleet
    }

    /// Team to which a credential belongs.
    pub fn team_by_credential(
        &self,
        credential_sha256: &[u8; 32],
    ) -> Option<(&TeamId, &TeamConfig)> {
        let id = self.by_credential.get(credential_sha256)?;
        self.teams.get(id).map(|entry| (id, &entry.config))
    }

    /// All declared models, with the artifact to serve.
    pub fn artifacts(&self) -> impl Iterator<Item = DeclaredArtifact<'_>> {
        self.teams.iter().flat_map(|(team, entry)| {
            entry
                .config
                .models
                .iter()
                .map(move |(name, model)| DeclaredArtifact {
                    artifact: ArtifactId::from_parts(team.as_str(), name, &model.version),
                    copy_mib: model.copy_mib(),
                    min_copies: model.min_copies,
                    is_relied_upon: entry.config.relies_on.contains(name),
                    adapters: model.adapters.keys(),
                })
        })
    }

    fn index_credentials(&mut self) {
        self.by_credential.clear();
        for (id, entry) in &self.teams {
            for credential in &entry.config.credentials_sha256 {
                self.by_credential
                    .entry(*credential)
                    .or_insert_with(|| id.clone());
            }
        }
    }
}

/// Model, as declared by its team.
#[derive(Clone, Debug)]
pub struct DeclaredArtifact<'a> {
    /// Version to serve.
    pub artifact: ArtifactId,
    /// Memory of one copy in MiB.
    pub copy_mib: u64,
    /// Minimum number of copies.
    pub min_copies: u32,
    /// True if the team relies on the model.
    pub is_relied_upon: bool,
    /// Names of the model's adapters.
    pub adapters: std::collections::btree_map::Keys<'a, String, super::config::AdapterConfig>,
}
