//! Eras of the platform's store.
//!
//! Fault: the store comes back from a copy that is some seconds old. Its
//! revisions go back and are assigned a second time, and leases, keys and
//! changes written since the copy are gone. Each such restore starts a new era,
//! whose number is in every response of the store.
//!
//! A revision is therefore only comparable with revisions of the same era, and
//! nothing that was granted in an era is held in a later one.

/// Number of bits of a term that hold the revision; engines compare terms as JSON
/// numbers, which are exact up to 53 bits.
const REVISION_BITS: u32 = 40;
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_ERA: u64 = (1 << (53 - REVISION_BITS)) - 1;

/// Era of the store.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Era(pub u64);

/// Number of a term of the acting host, in the order of eras and then of
/// revisions, so that a term that is granted after a restore is above all terms
/// before it.
pub fn term_number(era: Era, revision: u64) -> u64 {
    (era.0.min(MAX_ERA) << REVISION_BITS) | revision.min(MAX_REVISION)
}

/// Relation of a response to the responses before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraChange {
    /// It is of the current era.
    Current,
    /// It is the first one of a new era; everything remembered is of an earlier
    /// one.
    Advanced {
        /// Era before.
        from: Era,
    },
    /// It is of an earlier era and must be ignored.
    Outdated,
}

/// Latest era that a host has seen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EraTracker {
    current: Option<Era>,
}

impl EraTracker {
    /// Latest era; the default one before the first response.
    pub fn current(self) -> Era {
        self.current.unwrap_or_default()
    }

    /// Records the era of a response.
    pub fn observe(&mut self, era: Era) -> EraChange {
        match self.current {
            Some(current) if era == current => EraChange::Current,
            Some(current) if era < current => EraChange::Outdated,
            Some(current) => {
                self.current = Some(era);
                EraChange::Advanced { from: current }
            }
            None => {
                self.current = Some(era);
                EraChange::Current
            }
        }
    }
}
