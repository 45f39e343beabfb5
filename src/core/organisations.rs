//! Organisations that share a deployment, and the keys of their callers.
//!
//! Load pattern: every request carries a key, and callers with invalid keys send any number
//! of them. One hash and one lookup decide, before the body is read.
//!
//! Only digests of keys are kept, so that no log, metric or dump can contain a key.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::config::{Finding, Findings};
use super::ids::OrganisationId;

/// Largest rate or burst of a quota; more than a deployment of the largest size serves.
const MAX_QUOTA: f64 = 1e12;
/// Scheme of a credential in a header.
const BEARER: &str = "bearer";

/// SHA-256 digest of a key.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Digest of the key in the value of an authorization header; `None` unless it is a
    /// bearer credential.
    pub fn of_bearer(header: &str) -> Option<Self> {
        let (scheme, key) = header.trim().split_once(' ')?;
        let key = key.trim();
        (scheme.eq_ignore_ascii_case(BEARER) && !key.is_empty()).then(|| Self::of(key))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens: those of the prompt and the most that the response may have.
    Tokens,
}

/// Limit on what the callers of an organisation may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_s: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// Tokens that a request without a stated size counts as.
    pub plain_tokens: u64,
}

impl Quota {
    /// Units that a request counts as; `tokens` is its stated size, if it states one.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => tokens.unwrap_or(self.plain_tokens),
        }
    }
}

/// Organisation as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, which upstreams are told.
    pub id: OrganisationId,
    /// Priority of its requests in place of their routes' priority.
    pub priority: Option<u8>,
    /// Limit on its use, if it has one.
    pub quota: Option<Quota>,
}

/// Organisation with the keys of its callers, as decoded from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationSpec {
    /// Organisation.
    pub organisation: Organisation,
    /// Digests of its keys; `None` stands for an empty key.
    pub keys: Vec<Option<KeyDigest>>,
}

/// Organisations of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_key: HashMap<KeyDigest, Rc<Organisation>>,
    by_id: BTreeMap<OrganisationId, Rc<Organisation>>,
}

impl Organisations {
    /// Indexes organisations and reports all faults together.
    ///
    /// A key of two organisations belongs to neither, and an organisation with an invalid
    /// quota has no valid key: a fault must not grant access or an unlimited rate.
    pub fn new(specs: Vec<OrganisationSpec>) -> (Self, Vec<Finding>) {
        let mut findings = Findings::default();
        let mut organisations = Self::default();
        let mut owners: HashMap<KeyDigest, Option<Rc<Organisation>>> = HashMap::new();
        for (index, spec) in specs.into_iter().enumerate() {
            let root = format!("organisations/{index}");
            if !check(&spec, &organisations, &root, &mut findings) {
                continue;
            }
            let organisation = Rc::new(spec.organisation);
            for key in spec.keys.into_iter().flatten() {
                match owners.get_mut(&key) {
                    Some(Some(owner)) if *owner == organisation => {}
                    Some(owner) => {
                        *owner = None;
                        let path = format!("{root}/keys");
                        findings.add(path, "another organisation has the same key");
                    }
                    None => {
                        owners.insert(key, Some(Rc::clone(&organisation)));
                    }
                }
            }
            let id = organisation.id.clone();
            organisations.by_id.insert(id, organisation);
        }
        let owned = owners.into_iter();
        organisations.by_key = owned.filter_map(|(k, o)| Some((k, o?))).collect();
        (organisations, findings.into_list())
    }

    /// Organisation that a key belongs to.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Rc<Organisation>> {
        self.by_key.get(key)
    }

    /// Organisation with a name.
    pub fn get(&self, id: &str) -> Option<&Rc<Organisation>> {
        self.by_id.get(id)
    }

    /// All organisations, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Organisation>> {
        self.by_id.values()
    }

    /// Number of organisations.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// True if there is none.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

/// Reports the faults of an organisation; false if it cannot be used.
fn check(
    spec: &OrganisationSpec,
    known: &Organisations,
    root: &str,
    findings: &mut Findings,
) -> bool {
    let id = spec.organisation.id.as_str();
    let is_named = !id.is_empty() && id.bytes().all(|b| b.is_ascii_graphic());
    findings.expect(is_named, format!("{root}/name"), "must be printable ASCII");
    let is_new = known.get(id).is_none();
    findings.expect(is_new, format!("{root}/name"), "is used twice");
    let has_empty_key = spec.keys.iter().any(Option::is_none);
    findings.expect(
        !has_empty_key,
        format!("{root}/keys"),
        "contains an empty key",
    );
    let is_valid = |value: f64| (0.0..=MAX_QUOTA).contains(&value);
    let quota = spec.organisation.quota.as_ref();
    let has_valid_quota = quota.is_none_or(|q| is_valid(q.per_s) && is_valid(q.burst));
    findings.expect(
        has_valid_quota,
        format!("{root}/quota"),
        "must be from 0 to 1e12",
    );
    is_named && is_new && has_valid_quota
}
