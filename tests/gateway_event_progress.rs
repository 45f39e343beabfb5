//! Streams whose bytes complete no event.

use currantcove::core::event_progress::EventProgress;
use currantcove::core::load::UNRESPONSIVE_AFTER_MS;

/// Progress after data at some times; each entry states whether the data completed an
/// event and whether an incomplete one remains.
fn progress_after(data: &[(u64, bool, bool)]) -> EventProgress {
    let mut progress = EventProgress::default();
    for (now_ms, has_completed, has_remainder) in data {
        progress.on_data(*now_ms, *has_completed, *has_remainder);
    }
    progress
}

#[test]
fn stream_is_stalled_if_its_bytes_complete_no_event() {
    let progress = progress_after(&[(100, false, true), (800, false, true)]);

    assert!(!progress.is_stalled(100 + UNRESPONSIVE_AFTER_MS - 1));
    assert!(progress.is_stalled(100 + UNRESPONSIVE_AFTER_MS));
}

#[test]
fn stream_without_an_incomplete_event_is_quiet() {
    let progress = progress_after(&[(100, false, true), (200, true, false)]);

    assert!(!progress.is_stalled(1_000_000));
}

#[test]
fn each_event_has_its_own_time() {
    let progress = progress_after(&[(100, false, true), (900, true, true)]);

    assert!(!progress.is_stalled(100 + UNRESPONSIVE_AFTER_MS));
    assert!(progress.is_stalled(900 + UNRESPONSIVE_AFTER_MS));
}
