//! Whether a response goes on with a stream that another upstream began.
//!
//! Fault: an upstream that is asked to go on with a stream reports an error in a response
//! that looks like a success, ends at once, or begins the stream anew. Its bytes would stand
//! in the middle of the caller's stream, or end it as if it were complete.
//!
//! The IDs of a stream's events rise. An event goes on with a stream if it has an ID above
//! the last one, and a response that has no event says nothing about the stream's end.

/// Delimiter of events.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// Field with the ID of an event.
const ID_FIELD: &[u8] = b"id:";

/// ID of an event, if its lines have one.
pub fn event_id(event: &[u8]) -> Option<&str> {
    let mut lines = event.split(|&b| b == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    Some(std::str::from_utf8(id).ok()?.trim())
}

/// ID of the last event that has an ID.
pub fn last_event_id(events: &[u8]) -> Option<String> {
    event_id(events).map(str::to_owned)
}

/// Check of the events that one upstream sends to go on with a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Continuation {
    last_id: Option<String>,
    has_events: bool,
}

impl Continuation {
    /// Check of what follows the event with an ID; of a whole stream if there is none.
    pub fn after(last_id: Option<&str>) -> Self {
        Self {
            last_id: last_id.map(str::to_owned),
            has_events: false,
        }
    }

    /// Length of the leading events that go on with the stream; `events` are complete.
    pub fn accept(&mut self, events: &[u8]) -> usize {
        let mut accepted = 0;
        while let Some(length) = first_event_length(&events[accepted..]) {
            if !self.accept_event(&events[accepted..accepted + length]) {
                break;
            }
            accepted += length;
        }
        accepted
    }

    fn accept_event(&mut self, event: &[u8]) -> bool {
        let is_comment = |line: &[u8]| line.first().is_none_or(|&b| b == b':');
        if event.split(|&b| b == b'\n').all(is_comment) {
            return true;
        }
        let Some(id) = event_id(event) else {
            return false;
        };
        let number = id.parse::<u64>().ok();
        let is_next = self.last_id.as_deref().is_none_or(|last_id| {
            let last_number = last_id.parse::<u64>().ok();
            // `None` precedes all numbers: other IDs cannot be ordered.
            number > last_number || (number == last_number && id != last_id)
        });
        if is_next {
            self.last_id = Some(id.to_owned());
            self.has_events = true;
        }
        is_next
    }

    /// True if the end of the response may be the end of the stream.
    pub fn may_end(&self) -> bool {
        self.has_events
    }
}

fn first_event_length(events: &[u8]) -> Option<usize> {
    let mut windows = events.windows(EVENT_DELIMITER.len());
    let at = windows.position(|w| w == EVENT_DELIMITER)?;
    Some(at + EVENT_DELIMITER.len())
}
