//! Times after which changes of the store were written, by their revisions.
//!
//! Load pattern: changes are read in batches, in large fleets from other hosts, so that the
//! time at which a host reads a change says little about the time at which it was written.
//! A change was written after each read that has not shown it. Reads are few; a host that
//! waits for evidence reads the present revision once more.

use super::store_era::Era;
use super::store_relay::Position;

/// Limit of the remembered reads.
const MAX_READS: usize = 16;

/// Read that has shown all changes up to a revision.
#[derive(Clone, Copy, Debug)]
struct Read {
    revision: u64,
    requested_ms: u64,
}

/// Recent reads of one era of the store.
#[derive(Clone, Debug, Default)]
pub struct WriteTimes {
    era: Era,
    /// Reads in the order of their revisions. One that has shown more than another was
    /// requested later; others say nothing more and are left out.
    reads: Vec<Read>,
}

impl WriteTimes {
    /// Records that a read that was requested at a time, in milliseconds, has shown all
    /// changes up to a position.
    pub fn record_read(&mut self, shown: Position, requested_ms: u64) {
        if shown.era != self.era {
            self.era = shown.era;
            self.reads.clear();
        }
        let read = Read {
            revision: shown.revision,
            requested_ms,
        };
        if self.written_after_ms(shown.era, shown.revision + 1) >= requested_ms {
            return;
        }
        self.reads.retain(|known| {
            known.revision < read.revision || known.requested_ms > read.requested_ms
        });
        let at = self
            .reads
            .partition_point(|known| known.revision < read.revision);
        self.reads.insert(at, read);
        if self.reads.len() > MAX_READS {
            self.reads.remove(0);
        }
    }

    /// Time after which a change was written, in milliseconds; 0 if nothing is known.
    pub fn written_after_ms(&self, era: Era, revision: u64) -> u64 {
        if era != self.era {
            return 0;
        }
        let mut reads = self.reads.iter().rev();
        let latest = reads.find(|read| read.revision < revision);
        latest.map_or(0, |read| read.requested_ms)
    }
}
