//! Search over random orders of events: an upstream starts again under its ID, announces
//! itself or not, and a host reads its announcements late and sends it requests over two
//! connections. Is a response ever taken for one of another incarnation?
//!
//! The host decides with the code of `core`. It is also searched with rules that ask for less,
//! which take responses for those of another incarnation.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantcove::core::attestation::Attestations;
use currantcove::core::ids::UpstreamId;
use currantcove::core::process_span::ProcessSpans;
use currantcove::core::routing::Rng;
use currantcove::core::store_era::Era;
use currantcove::core::store_relay::Position;
use currantcove::core::write_times::WriteTimes;

const WALKS: u64 = 100_000;
const STEPS: u64 = 60;
const ACTIONS: usize = 12;
const CONNECTIONS: usize = 2;

/// What a host takes for evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    /// Announcements written after the process of the connection was known to run.
    All,
    /// Announcements that are read after that.
    ByReadTime,
    /// Announcements written after the connection was opened before the one in use.
    ByEarlierConnection,
    /// The listing.
    ByListing,
}

#[derive(Clone, Copy, Debug)]
struct Announcement {
    revision: u64,
    incarnation: u64,
}

/// Read of the store in progress.
#[derive(Clone, Debug)]
struct Read {
    requested_ms: u64,
    /// Changes and the revision that the store has sent, once it has.
    response: Option<(Vec<Announcement>, u64)>,
}

impl Read {
    fn requested(at_ms: u64) -> Self {
        Self {
            requested_ms: at_ms,
            response: None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    at_ms: u64,
    listed: u64,
    is_answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    incarnation: u64,
    opened_ms: u64,
    sent: Option<Sent>,
}

/// Response that a host has received.
#[derive(Clone, Copy, Debug)]
struct Response {
    incarnation: u64,
    listed: u64,
    opened_ms: u64,
    sent_ms: u64,
}

struct World {
    rules: Rules,
    start: Instant,
    now_ms: u64,
    running: u64,
    announcements: Vec<Announcement>,
    position: u64,
    read: Option<Read>,
    /// Read that shows the present revision alone.
    short_read: Option<Read>,
    listed: Option<u64>,
    connections: [Option<Connection>; CONNECTIONS],
    spans: ProcessSpans,
    write_times: WriteTimes,
    attestations: Attestations,
    responses: Vec<Response>,
}

impl World {
    fn new(rules: Rules) -> Self {
        Self {
            rules,
            start: Instant::now(),
            now_ms: 1,
            running: 1,
            announcements: Vec::new(),
            position: 0,
            read: None,
            short_read: None,
            listed: None,
            connections: [None; CONNECTIONS],
            spans: ProcessSpans::default(),
            write_times: WriteTimes::default(),
            attestations: Attestations::default(),
            responses: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn revision(&self) -> u64 {
        self.announcements.last().map_or(0, |a| a.revision)
    }

    fn step(&mut self, action: usize, connection: usize) {
        self.now_ms += 1;
        match action {
            0 => self.running += 1,
            1 | 2 => {
                let revision = self.revision() + 1;
                self.announcements.push(Announcement {
                    revision,
                    incarnation: self.running,
                });
            }
            3 => {
                self.read.get_or_insert(Read::requested(self.now_ms));
            }
            4 => {
                self.short_read.get_or_insert(Read::requested(self.now_ms));
            }
            5 => self.answer_reads(),
            6 => self.receive_read(),
            7 => self.receive_short_read(),
            8 | 9 => self.open_or_send(connection),
            10 => self.answer(connection),
            _ => self.receive(connection),
        }
    }

    fn answer_reads(&mut self) {
        let revision = self.revision();
        let announcements = self.announcements.iter().copied();
        let changes = announcements.filter(|a| a.revision > self.position);
        if let Some(read) = self.read.as_mut().filter(|r| r.response.is_none()) {
            read.response = Some((changes.collect(), revision));
        }
        if let Some(read) = self.short_read.as_mut().filter(|r| r.response.is_none()) {
            read.response = Some((Vec::new(), revision));
        }
    }

    fn receive_short_read(&mut self) {
        if let Some(read) = self.short_read.take_if(|r| r.response.is_some()) {
            let (_, revision) = read.response.expect("a response");
            let shown = Position {
                era: Era(1),
                revision,
            };
            self.write_times.record_read(shown, read.requested_ms);
        }
    }

    fn receive_read(&mut self) {
        let Some(read) = self.read.take_if(|r| r.response.is_some()) else {
            return;
        };
        let (changes, revision) = read.response.expect("a response");
        for change in changes {
            self.listed = Some(change.incarnation);
            let written_ms = match self.rules {
                Rules::ByReadTime => self.now_ms,
                _ => self.write_times.written_after_ms(Era(1), change.revision),
            };
            let upstream = UpstreamId::new("i-1");
            self.attestations
                .record(self.now_ms, &upstream, change.incarnation, written_ms);
        }
        self.position = revision;
        let shown = Position {
            era: Era(1),
            revision,
        };
        self.write_times.record_read(shown, read.requested_ms);
    }

    fn open_or_send(&mut self, index: usize) {
        match &mut self.connections[index] {
            Some(connection) if connection.incarnation == self.running => {
                if let (None, Some(listed)) = (connection.sent, self.listed) {
                    connection.sent = Some(Sent {
                        at_ms: self.now_ms,
                        listed,
                        is_answered: false,
                    });
                }
            }
            // The process at its other end is gone, which the host may not have seen yet.
            Some(connection) if connection.sent.is_some_and(|s| s.is_answered) => {}
            connection => {
                *connection = Some(Connection {
                    incarnation: self.running,
                    opened_ms: self.now_ms,
                    sent: None,
                });
            }
        }
    }

    fn answer(&mut self, index: usize) {
        if let Some(connection) = &mut self.connections[index]
            && connection.incarnation == self.running
            && let Some(sent) = &mut connection.sent
        {
            sent.is_answered = true;
        }
    }

    fn receive(&mut self, index: usize) {
        let Some(connection) = &mut self.connections[index] else {
            return;
        };
        let Some(sent) = connection.sent.take_if(|s| s.is_answered) else {
            return;
        };
        let response = Response {
            incarnation: connection.incarnation,
            listed: sent.listed,
            opened_ms: connection.opened_ms,
            sent_ms: sent.at_ms,
        };
        self.responses.push(response);
        self.running_since_ms(response);
    }

    fn running_since_ms(&mut self, response: Response) -> u64 {
        let addr = SocketAddr::from(([10, 0, 0, 1], 80));
        let (opened, sent) = (self.at(response.opened_ms), self.at(response.sent_ms));
        let since = self.spans.record(addr, opened, sent);
        since.duration_since(self.start).as_millis() as u64
    }

    /// True if the host takes a response for one of the listed incarnation.
    fn is_certain(&mut self, response: Response) -> bool {
        let mut since_ms = self.running_since_ms(response);
        if self.rules == Rules::ByListing {
            return true;
        }
        if self.rules == Rules::ByEarlierConnection {
            let earliest = self.responses.iter().map(|r| r.opened_ms).min();
            since_ms = earliest.unwrap_or(since_ms);
        }
        let upstream = UpstreamId::new("i-1");
        self.attestations
            .has_run_after(&upstream, response.listed, since_ms)
    }
}

#[derive(Debug, Default)]
struct Found {
    certain: u64,
    mistaken: u64,
}

fn search(rules: Rules) -> Found {
    let mut found = Found::default();
    for seed in 0..WALKS {
        let mut rng = Rng::new(seed);
        let mut world = World::new(rules);
        for _ in 0..STEPS {
            world.step(rng.below(ACTIONS), rng.below(CONNECTIONS));
            for response in world.responses.clone() {
                let is_certain = world.is_certain(response);
                let is_mistaken = is_certain && response.incarnation != response.listed;
                found.certain += u64::from(is_certain);
                found.mistaken += u64::from(is_mistaken);
            }
        }
    }
    found
}

#[test]
fn no_response_is_taken_for_one_of_another_incarnation() {
    let found = search(Rules::All);

    assert_eq!(found.mistaken, 0, "{found:?}");
    println!("{found:?}");
    assert!(found.certain > 0, "{found:?}");
}

#[test]
fn responses_are_mistaken_if_less_is_asked_for() {
    for rules in [
        Rules::ByReadTime,
        Rules::ByEarlierConnection,
        Rules::ByListing,
    ] {
        let found = search(rules);

        assert!(found.mistaken > 0, "{rules:?}: {found:?}");
    }
}
