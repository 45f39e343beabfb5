//! Splitting the bytes of a stream into events.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use currantcove::gateway::relay::split_complete_events;

/// Splits data that arrives in parts of one byte; `None` if an event is too large.
fn split_byte_by_byte(data: &[u8]) -> Option<Vec<u8>> {
    let mut partial = BytesMut::new();
    let mut events = Vec::new();
    for byte in data {
        let part = Bytes::copy_from_slice(&[*byte]);
        events.extend_from_slice(&split_complete_events(&mut partial, part)?);
    }
    Some(events)
}

/// Guards against a host that an event without end keeps busy: each byte was searched
/// for delimiters together with all bytes before it.
#[test]
fn event_without_end_costs_time_in_proportion_to_its_size() {
    let data = vec![b'a'; 300 * 1024];
    let started = Instant::now();

    let events = split_byte_by_byte(&data);

    assert_eq!(events, None, "an event of 300 KB is too large");
    assert!(started.elapsed() < Duration::from_secs(1));
}

#[test]
fn events_that_arrive_byte_by_byte_are_complete() {
    let data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n\nid: 3";

    let events = split_byte_by_byte(data);

    assert_eq!(
        events.as_deref(),
        Some(&b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"[..])
    );
}

#[test]
fn delimiter_may_be_split_between_parts() {
    let mut partial = BytesMut::new();

    let first = split_complete_events(&mut partial, Bytes::from_static(b"data: a\n"));
    let second = split_complete_events(&mut partial, Bytes::from_static(b"\ndata: b"));

    assert_eq!(first, Some(Bytes::new()));
    assert_eq!(second, Some(Bytes::from_static(b"data: a\n\n")));
    assert_eq!(&partial[..], b"data: b");
}
