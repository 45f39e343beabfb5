//! Whether the bytes of a request without a response are still on the way.
//!
//! Fault: a partition holds the bytes of a request up and delivers them when it heals,
//! when the upstream may have left long ago. A reset of the connection discards them. The
//! kernel ends a silent connection without a reset, so that the host has to come first.
//!
//! A request on a new connection follows a handshake. On a connection that was kept idle
//! nothing shows that the path still exists; it is checked by another connection to the
//! same address. An upstream that is only slow accepts it.

/// Time without a response after which the path is checked, in milliseconds.
pub const CHECK_AFTER_MS: u64 = 500;
/// Time after which it is checked if the upstream is to receive no more requests, in
/// milliseconds; covers the response of an upstream that is not slow.
const CHECK_AFTER_IF_LEAVING_MS: u64 = 100;
/// Time between a check without an answer and the next one, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;
/// Longest time between two looks at whether the upstream is leaving, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 100;
/// Age of a request at which its connection is reset while the path gives no answer, in
/// milliseconds; an upstream that falls silent for a second keeps its requests.
pub const RESET_AFTER_MS: u64 = 2_000;
/// Shortest retransmission timeout, in milliseconds; it doubles with each retransmission.
const MIN_RETRANSMISSION_MS: u64 = 200;

/// What to do about a request without a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathStep {
    /// Decide again after this time, in milliseconds.
    Wait(u64),
    /// Check whether the path answers.
    Check,
    /// Reset the connection.
    Reset,
    /// The upstream has the request; wait for the response.
    Delivered,
}

/// What is known of the path since a request was sent. All times are in milliseconds
/// since then.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PathWatch {
    unanswered_ms: Option<u64>,
    delivered_ms: Option<u64>,
}

impl PathWatch {
    /// Records that the path has answered. After a silence, the bytes arrive with the next
    /// retransmission.
    pub fn on_answer(&mut self, now_ms: u64) {
        let is_retransmitted = self.unanswered_ms.is_some();
        let delivered_ms = if is_retransmitted {
            2 * now_ms + MIN_RETRANSMISSION_MS
        } else {
            now_ms
        };
        self.delivered_ms.get_or_insert(delivered_ms);
    }

    /// Records that the path has not answered.
    pub fn on_silence(&mut self, now_ms: u64) {
        self.unanswered_ms = Some(now_ms);
    }

    /// Next step; `is_leaving` if the upstream is to receive no more requests.
    pub fn next_step(&self, now_ms: u64, is_leaving: bool) -> PathStep {
        if let Some(delivered_ms) = self.delivered_ms {
            return if now_ms >= delivered_ms {
                PathStep::Delivered
            } else if is_leaving {
                PathStep::Reset
            } else {
                wait_until(now_ms, delivered_ms)
            };
        }
        let due_ms = match self.unanswered_ms {
            Some(_) if is_leaving || now_ms >= RESET_AFTER_MS => return PathStep::Reset,
            Some(at_ms) => at_ms + CHECK_INTERVAL_MS,
            None if is_leaving => CHECK_AFTER_IF_LEAVING_MS,
            None => CHECK_AFTER_MS,
        };
        if now_ms >= due_ms {
            PathStep::Check
        } else {
            wait_until(now_ms, due_ms)
        }
    }
}

fn wait_until(now_ms: u64, until_ms: u64) -> PathStep {
    PathStep::Wait((until_ms - now_ms).min(LOOK_INTERVAL_MS))
}
