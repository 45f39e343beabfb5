//! Record of a case: what was sent, answered and run.

use std::fs;
use std::path::Path;
use std::sync::Mutex;

use crate::clock::now_ms;

/// Lines with their times.
pub struct Record(Mutex<Vec<String>>);

impl Record {
    pub fn new(has_trouble: bool) -> Self {
        let disruption = if has_trouble { "with" } else { "without" };
        let head = format!("times in ms from the start; {disruption} the disruption");
        Self(Mutex::new(vec![head]))
    }

    /// Adds a line with the present time.
    pub fn line(&self, line: impl AsRef<str>) {
        self.at(now_ms(), line);
    }

    /// Adds a line with a time.
    pub fn at(&self, at_ms: u64, line: impl AsRef<str>) {
        let line = format!("{at_ms:>7} {}", line.as_ref());
        self.0.lock().expect("lock").push(line);
    }

    pub fn write(&self, folder: &str) -> std::io::Result<()> {
        let mut lines = self.0.lock().expect("lock").clone();
        // Lines of the same time stay in their order.
        lines[1..].sort_by_key(|l| l[..7].trim().parse::<u64>().unwrap_or(0));
        fs::write(
            Path::new(folder).join("record.txt"),
            lines.join("\n") + "\n",
        )
    }
}
