//! Software versions of the upstreams of each service.
//!
//! Load pattern: a release replaces upstreams one after the other, so that the last ones of
//! a version serve beside many of another one. Streams that begin there have nowhere to go
//! on when their upstream leaves or fails.
//!
//! Fault: no host knows where a stream began. If a service has had one version only for as
//! long as a stream can last, the stream began at that version.

use std::collections::BTreeMap;

use super::ids::{ServiceId, SoftwareVersion};
use super::registry::{Entry, Registry};

/// Time without news from the store after which a host does not know the present versions,
/// in milliseconds; upstreams announce themselves about once a second.
const MAX_SILENCE_MS: u64 = 2_000;
/// Time after which a version that is no longer announced is forgotten, in milliseconds.
const MEMORY_MS: u64 = 120_000;

/// Versions that a host has seen listed.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    /// Versions by service, each with the time of its last announcement in milliseconds;
    /// none for entries that state no version.
    announced: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, u64>>,
    /// Time from which this host knows all changes.
    followed_since_ms: Option<u64>,
    /// Time of the last news from the store.
    confirmed_ms: u64,
}

impl SoftwareHistory {
    /// Records an announcement, or the removal of an entry.
    pub fn record(&mut self, now_ms: u64, entry: &Entry) {
        let versions = self.announced.entry(entry.service.clone()).or_default();
        versions.insert(entry.software.clone(), now_ms);
        versions.retain(|_, at_ms| now_ms < *at_ms + MEMORY_MS);
    }

    /// Records that everything was read anew, and that changes before are unknown.
    pub fn restart(&mut self, now_ms: u64) {
        self.followed_since_ms = Some(now_ms);
    }

    /// Records that all changes up to now are known.
    pub fn confirm(&mut self, now_ms: u64) {
        self.confirmed_ms = now_ms;
    }

    /// The only version that a service has had for a time, if that is certain.
    pub fn only_version(
        &self,
        now_ms: u64,
        window_ms: u64,
        registry: &Registry,
        service: &ServiceId,
    ) -> Option<SoftwareVersion> {
        if window_ms >= MEMORY_MS {
            return None;
        }
        let is_current = now_ms < self.confirmed_ms + MAX_SILENCE_MS;
        let from_ms = now_ms.saturating_sub(window_ms);
        let is_covered = self
            .followed_since_ms
            .is_some_and(|at| now_ms >= at + window_ms);
        if !is_current || !is_covered {
            return None;
        }
        let announced = self.announced.get(service)?;
        let recent = announced.iter().filter(|(_, at_ms)| **at_ms >= from_ms);
        let listed = registry.of_service(service).map(|e| &e.software);
        let mut versions = recent.map(|(version, _)| version).chain(listed);
        let first = versions.next()?;
        let is_only = versions.all(|version| version == first);
        first.clone().filter(|_| is_only)
    }
}

/// Version counts of a service's upstreams that take requests.
#[derive(Clone, Debug, Default)]
pub struct VersionCounts<'a> {
    counts: BTreeMap<&'a SoftwareVersion, u32>,
}

impl<'a> VersionCounts<'a> {
    /// Counts of a service.
    pub fn of(now_ms: u64, registry: &'a Registry, service: &'a ServiceId) -> Self {
        let mut counts = BTreeMap::new();
        for entry in registry.of_service(service) {
            if let Some(software) = &entry.software
                && registry.takes_requests(entry, now_ms)
            {
                *counts.entry(software).or_default() += 1;
            }
        }
        Self { counts }
    }

    /// Number of upstreams with a version.
    pub fn get(&self, software: &SoftwareVersion) -> u32 {
        self.counts.get(software).copied().unwrap_or(0)
    }

    /// True if a stream that begins at an entry has no second upstream to go on at, and
    /// would have one if it began elsewhere.
    pub fn is_worse_than_others(&self, entry: &Entry) -> bool {
        let is_lone = |count: u32| count < 2;
        let count = entry.software.as_ref().map_or(0, |s| self.get(s));
        is_lone(count) && self.counts.values().any(|count| !is_lone(*count))
    }
}
