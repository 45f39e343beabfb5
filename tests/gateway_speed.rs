//! Replays engines of different speeds, without a network.

mod common;

use std::collections::BTreeMap;

use common::entry;
use currantcove::core::balance::{Requirements, UpstreamFilter, Weights, select_upstream};
use currantcove::core::ids::{HostId, ModelId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::load::{AttemptOutcome, LoadTable, RequestSize, SentRequest};
use currantcove::core::peer_loads::PeerLoads;
use currantcove::core::registry::Registry;
use currantcove::core::routing::Rng;
use currantcove::core::speed::{PaceKind, PaceSum, SpeedTable};

const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const HOSTS: usize = 90;
const ENGINES: usize = 12;
/// Interval at which hosts exchange loads; hosts of a large fleet also ask right before
/// they send.
const EXCHANGE_INTERVAL_MS: u64 = 40;
const SLOTS: u32 = 16;
const PROMPT_TOKENS: u32 = 1_000;
const OUTPUT_TOKENS: u32 = 60;
/// Prompt tokens that an engine of usual speed prefills in a millisecond.
const PREFILL_PER_MS: f64 = 12.0;
/// Output tokens a millisecond of one stream at an engine of usual speed, alone.
const DECODE_PER_MS: f64 = 0.05;
const OBJECTIVE_MS: u64 = 800;
const DURATION_MS: u64 = 30_000;
/// Time in which speeds are learned.
const WARM_UP_MS: u64 = 10_000;

struct Stream {
    host: usize,
    sent: SentRequest,
    prefill_left: f64,
    decode_left: f64,
    deadline_ms: u64,
}

#[derive(Default)]
struct Engine {
    speed: f64,
    slow_until_ms: u64,
    streams: Vec<Stream>,
}

#[derive(Clone, Copy)]
struct Arrangement {
    is_learned: bool,
    has_passing_slowness: bool,
    per_s: u64,
    output_tokens: u32,
    deadline_ms: u64,
}

#[derive(Debug, Default)]
struct Figures {
    arrived: u32,
    in_time: u32,
    missed_deadline: u32,
    by_speed: BTreeMap<u64, u32>,
}

impl Figures {
    fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived)
    }
}

struct Play {
    arrangement: Arrangement,
    registry: Registry,
    hosts: Vec<LoadTable>,
    peer_loads: PeerLoads,
    engines: Vec<Engine>,
    rng: Rng,
    figures: Figures,
}

impl Play {
    fn new(arrangement: Arrangement, seed: u64) -> Self {
        let mut registry = Registry::default();
        let entries = (0..ENGINES).map(|i| {
            let mut entry = entry(&format!("i-{i}"), "voyages", SLOTS);
            entry.resident.entry(ModelId::new("m")).or_default();
            entry
        });
        registry.replace(entries.collect(), None, 0);
        let host = || {
            let mut loads = LoadTable::default();
            if arrangement.is_learned {
                loads.learn_speeds();
            }
            loads
        };
        let engine = |i: usize| Engine {
            speed: SPEEDS[i % SPEEDS.len()],
            ..Engine::default()
        };
        Self {
            arrangement,
            registry,
            hosts: (0..HOSTS).map(|_| host()).collect(),
            peer_loads: PeerLoads::default(),
            engines: (0..ENGINES).map(engine).collect(),
            rng: Rng::new(seed),
            figures: Figures::default(),
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let host = self.rng.below(HOSTS);
        let is_counted = now_ms >= WARM_UP_MS;
        self.figures.arrived += u32::from(is_counted);
        let output_tokens = self.arrangement.output_tokens;
        let requirements = Requirements {
            service: ServiceId::new("voyages"),
            weights: Some(Weights {
                model: ModelId::new("m"),
                adapter: None,
            }),
            size: RequestSize {
                prompt_tokens: PROMPT_TOKENS,
                output_tokens,
            },
            cache_tokens: 61_002,
            max_prefill_ms: 1_000.0,
        };
        let deadline_ms = now_ms + self.arrangement.deadline_ms;
        let filter = UpstreamFilter {
            end_by_ms: Some(deadline_ms),
            ..UpstreamFilter::default()
        };
        let selected = select_upstream(
            now_ms,
            &self.registry,
            &self.hosts[host],
            &ZoneId::new("a"),
            &requirements,
            &filter,
            &mut self.rng,
        );
        let Ok(id) = selected else {
            return;
        };
        let sent = self.hosts[host].on_sent(now_ms, &id, requirements.size);
        let index: usize = id.as_str()[2..].parse().expect("number");
        if is_counted {
            let speed = (self.engines[index].speed * 10.0) as u64;
            *self.figures.by_speed.entry(speed).or_default() += 1;
        }
        self.engines[index].streams.push(Stream {
            host,
            sent,
            prefill_left: f64::from(PROMPT_TOKENS),
            decode_left: f64::from(output_tokens),
            deadline_ms,
        });
    }

    fn step(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            let is_slow = self.arrangement.has_passing_slowness && now_ms < engine.slow_until_ms;
            let speed = engine.speed / if is_slow { 2.5 } else { 1.0 };
            let running = engine
                .streams
                .iter()
                .filter(|s| s.prefill_left <= 0.0)
                .count();
            let decoded = DECODE_PER_MS * speed / (1.0 + running as f64 / f64::from(SLOTS));
            let mut prefill = PREFILL_PER_MS * speed;
            for stream in &mut engine.streams {
                if stream.prefill_left <= 0.0 {
                    stream.decode_left -= decoded;
                    continue;
                }
                let read = prefill.min(stream.prefill_left);
                stream.prefill_left -= read;
                prefill -= read;
                if stream.prefill_left <= 0.0 {
                    let took_ms = now_ms - stream.sent.sent_ms();
                    let loads = &mut self.hosts[stream.host];
                    loads.on_first_response(now_ms, &mut stream.sent);
                    let is_counted = stream.sent.sent_ms() >= WARM_UP_MS;
                    self.figures.in_time += u32::from(is_counted && took_ms <= OBJECTIVE_MS);
                }
            }
            engine.streams.retain(|stream| {
                if stream.decode_left > 0.0 {
                    return true;
                }
                let loads = &mut self.hosts[stream.host];
                loads.on_end(now_ms, &stream.sent, AttemptOutcome::Succeeded);
                let is_late = now_ms > stream.deadline_ms;
                let is_counted = stream.sent.sent_ms() >= WARM_UP_MS;
                self.figures.missed_deadline += u32::from(is_counted && is_late);
                false
            });
        }
    }

    /// Passes loads and samples on to the acting host, and what it knows to all.
    fn exchange(&mut self, now_ms: u64) {
        for host in 0..HOSTS {
            let id = HostId::new(&format!("h{host}"));
            let changed = self.hosts[host].take_changed();
            self.peer_loads.apply_report(now_ms, &id, 1, &changed);
            let samples = self.hosts[host]
                .speeds_mut()
                .map(SpeedTable::take_unreported);
            let acting = self.hosts[0].speeds_mut().filter(|_| host > 0);
            if let Some(acting) = acting {
                for (upstream, kind, sum) in samples.unwrap_or_default() {
                    acting.record_reported(now_ms, &upstream, kind, sum);
                }
            }
        }
        let ids: Vec<UpstreamId> = self.registry.entries().map(|e| e.id.clone()).collect();
        let totals = self.peer_loads.digest(now_ms, ids.iter());
        let speeds = self.hosts[0]
            .speeds()
            .map(|s| s.of_service(now_ms, ids.iter()));
        for (i, host) in self.hosts.iter_mut().enumerate() {
            let host_id = HostId::new(&format!("h{i}"));
            for (id, total) in &totals {
                let own = self.peer_loads.from_host(&host_id, id);
                host.set_remote(now_ms, id, total.minus(own));
            }
            let table = host.speeds_mut().filter(|_| i > 0);
            if let (Some(table), Some(speeds)) = (table, &speeds) {
                for (id, speed) in speeds.all() {
                    table.set_stated(now_ms, id, speed.factor);
                }
            }
        }
    }

    fn run(mut self) -> Figures {
        for now_ms in 1..DURATION_MS {
            self.step(now_ms);
            if now_ms.is_multiple_of(EXCHANGE_INTERVAL_MS) {
                self.exchange(now_ms);
            }
            // Each engine in seven is slow for 0.6 s, others every four seconds.
            if now_ms.is_multiple_of(4_000) {
                for (i, engine) in self.engines.iter_mut().enumerate() {
                    if (i as u64 + now_ms / 4_000).is_multiple_of(7) {
                        engine.slow_until_ms = now_ms + 600;
                    }
                }
            }
            if (self.rng.below(1_000) as u64) < self.arrangement.per_s {
                self.arrive(now_ms);
            }
        }
        self.figures
    }
}

fn arrangement(is_learned: bool) -> Arrangement {
    Arrangement {
        is_learned,
        has_passing_slowness: true,
        per_s: 100,
        output_tokens: OUTPUT_TOKENS,
        deadline_ms: 12_000,
    }
}

fn play(name: &str, arrangement: Arrangement) -> Figures {
    let figures = Play::new(arrangement, 1).run();
    println!("{name}: {figures:?}, in time {:.3}", figures.share());
    figures
}

fn long_outputs(is_learned: bool) -> Arrangement {
    Arrangement {
        per_s: 15,
        output_tokens: 200,
        deadline_ms: 6_500,
        ..arrangement(is_learned)
    }
}

/// Guards against work that is split by count.
#[test]
fn slow_engines_get_less_and_fast_ones_more_than_before() {
    let [before, learned] = [false, true].map(|is_learned| {
        let arrangement = Arrangement {
            per_s: 60,
            ..arrangement(is_learned)
        };
        play("split", arrangement)
    });

    assert!(learned.by_speed[&6] < before.by_speed[&6]);
    assert!(learned.by_speed[&16] > before.by_speed[&16]);
}

#[test]
fn fewer_long_outputs_miss_their_deadline_than_before() {
    let [before, learned] =
        [false, true].map(|is_learned| play("long outputs", long_outputs(is_learned)));

    assert!(learned.missed_deadline < before.missed_deadline);
}

#[test]
fn long_outputs_do_not_go_where_they_miss_their_deadline() {
    let learned = play("long outputs", long_outputs(true));

    assert_eq!(learned.missed_deadline, 0);
}

#[test]
fn learned_speeds_serve_as_many_in_time_as_before() {
    for per_s in [60, 80, 100] {
        let [before, learned] = [false, true].map(|is_learned| {
            let arrangement = Arrangement {
                per_s,
                ..arrangement(is_learned)
            };
            play(&format!("{per_s} a second"), arrangement).share()
        });

        assert!(learned >= before, "{per_s} a second");
    }
}

fn record(table: &mut SpeedTable, upstream: &str, ms: u64, us_per_token: f64) {
    let sum = PaceSum {
        time_us: us_per_token * 100.0,
        units: 100.0,
    };
    table.record(ms, &UpstreamId::new(upstream), PaceKind::Prefill, sum);
}

/// Table that has seen three upstreams of speeds 0.5, 1 and 2 for five seconds.
fn learned() -> SpeedTable {
    let mut table = SpeedTable::default();
    for ms in (0..5_000).step_by(100) {
        record(&mut table, "slow", ms, 160.0);
        record(&mut table, "usual", ms, 80.0);
        record(&mut table, "fast", ms, 40.0);
    }
    table
}

fn speeds(table: &SpeedTable, now_ms: u64) -> Vec<(f64, bool)> {
    let ids = ["slow", "usual", "fast"].map(UpstreamId::new);
    let speeds = table.of_service(now_ms, ids.iter());
    ids.iter()
        .map(|id| (speeds.get(id).factor, speeds.get(id).is_passing_slow))
        .collect()
}

#[test]
fn speeds_are_relative_to_the_service() {
    let found = speeds(&learned(), 5_000);

    assert_eq!(found, [(0.5, false), (1.0, false), (2.0, false)]);
}

/// Guards against an upstream that is taken for slow for long after half a second.
#[test]
fn passing_slowness_does_not_change_the_lasting_speed() {
    let mut table = learned();
    for ms in (5_000..5_600).step_by(100) {
        record(&mut table, "usual", ms, 200.0);
    }

    let (during, after) = (speeds(&table, 5_600), speeds(&table, 6_600));

    assert_eq!(during[1], (1.0, true));
    assert_eq!(after[1], (1.0, false));
}

#[test]
fn lasting_slowness_is_learned() {
    let mut table = learned();
    for ms in (5_000..10_000).step_by(100) {
        record(&mut table, "fast", ms, 100.0);
    }

    let found = speeds(&table, 10_000);

    assert!((found[2].0 - 1.0).abs() < 1e-9, "{found:?}");
    assert!(!found[2].1, "{found:?}");
}

#[test]
fn restart_is_a_new_upstream() {
    let mut table = learned();

    table.forget(&UpstreamId::new("slow"));

    assert_eq!(speeds(&table, 5_000)[0], (1.0, false));
}
