//! Judgement of crashes, and the list of requests that are not sent.

use std::sync::atomic::{AtomicU64, Ordering};

use currantcove::core::crash_ledger::{CrashLedger, LostRequest, SETTLE_MS, StoredLedger};
use currantcove::core::ids::UpstreamId;
use currantcove::core::quarantine::{Quarantine, Verdict, Version};
use currantcove::core::request_traits::{Fingerprint, RequestContent, RequestTraits, Suspect};
use currantcove::core::routing::Rng;
use currantcove::core::sound_responses::SoundResponses;

const CALLER: &str = "a.example";
const OTHER_CALLER: &str = "b.example";

/// Traits of a request with shared prompt parts, one of its own and a body.
fn traits_with_body(caller: &str, shared: &[&str], body: &str) -> RequestTraits {
    let own = std::iter::once(&"own");
    let parts: Vec<String> = shared.iter().chain(own).map(ToString::to_string).collect();
    let content = RequestContent {
        method: "POST",
        target: "/x/1",
        body: body.as_bytes(),
    };
    RequestTraits::new(caller.as_bytes(), content, &parts)
}

/// Traits of a request with shared prompt parts and a body of its own.
fn traits(caller: &str, shared: &[&str]) -> RequestTraits {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    traits_with_body(caller, shared, &number.to_string())
}

fn part(id: &str) -> Suspect {
    Suspect::Part(Fingerprint::of(&[b"part", id.as_bytes()]))
}

/// Crashes as the acting host learns of them, one request each with its own ID.
#[derive(Default)]
struct Crashes {
    ledger: CrashLedger,
    quarantine: Quarantine,
    number: u64,
}

impl Crashes {
    /// Records that an upstream ended at a time under requests sent 100 ms before.
    fn add(&mut self, ended_ms: u64, requests: &[RequestTraits]) {
        self.number += 1;
        let upstream = UpstreamId::new(&format!("i-{}", self.number));
        let lost = requests.iter().enumerate().map(|(index, traits)| {
            let id = self.number * 1_000 + index as u64;
            LostRequest {
                id: Fingerprint::of(&[&id.to_be_bytes()]),
                traits: traits.clone(),
                sent_before_ms: 100,
            }
        });
        let lost: Vec<_> = lost.collect();
        self.ledger.record(ended_ms, &upstream, 1, ended_ms, lost);
    }

    /// Records crashes at these times, each under a request with the deadly part.
    fn of_deadly_part(times_ms: &[u64]) -> Self {
        let mut crashes = Self::default();
        for ended_ms in times_ms {
            crashes.add(*ended_ms, &[traits(CALLER, &["first", "deadly"])]);
        }
        crashes
    }

    fn judge(&self, now_ms: u64) -> Vec<Verdict> {
        self.ledger.judge(now_ms + SETTLE_MS, &self.quarantine)
    }

    fn to_stored(&self) -> StoredLedger {
        let watched = self.ledger.watched(&self.quarantine);
        self.ledger.to_stored(&watched)
    }

    fn suspects(&self, now_ms: u64) -> Vec<Suspect> {
        let verdicts = self.judge(now_ms);
        verdicts.iter().map(|v| v.suspect).collect()
    }
}

#[test]
fn part_in_flight_at_three_crashes_is_convicted_and_the_first_part_is_not() {
    let mut crashes = Crashes::default();
    for (ended_ms, other) in [(1_000, "x"), (1_500, "y"), (2_000, "z")] {
        let deadly = traits(CALLER, &["first", "deadly"]);
        crashes.add(ended_ms, &[deadly, traits(CALLER, &["first", other])]);
    }

    let suspects = crashes.suspects(2_000);

    assert_eq!(suspects, [part("deadly")]);
}

#[test]
fn deeper_part_is_convicted_if_both_are_in_the_same_requests() {
    let crashes = Crashes::of_deadly_part(&[1_000, 1_500, 2_000]);

    let suspects = crashes.suspects(2_000);

    assert_eq!(suspects, [part("deadly")]);
}

#[test]
fn two_crashes_convict_nothing() {
    let crashes = Crashes::of_deadly_part(&[1_000, 1_500]);

    assert!(crashes.judge(1_500).is_empty());
}

/// Guards against requests that are refused because many upstreams failed at once.
#[test]
fn upstreams_that_end_at_the_same_moment_convict_nothing() {
    let mut crashes = Crashes::default();
    for index in 0..9 {
        let popular = traits(CALLER, &["first", "popular"]);
        crashes.add(1_000 + index, &[popular]);
    }

    assert!(crashes.judge(1_009).is_empty());
}

/// Guards against waiting for crashes that are far apart, while one request is sent from
/// upstream to upstream.
#[test]
fn crashes_under_requests_sent_after_the_one_before_count_however_close() {
    let crashes = Crashes::of_deadly_part(&[1_000, 1_120, 1_240]);

    assert_eq!(crashes.suspects(1_240), [part("deadly")]);
}

#[test]
fn request_sent_in_the_millisecond_of_a_crash_counts_as_sent_after_it() {
    let crashes = Crashes::of_deadly_part(&[1_000, 1_100, 1_200]);

    assert_eq!(crashes.suspects(1_200), [part("deadly")]);
}

#[test]
fn sound_response_clears_the_crashes_before_it() {
    let mut crashes = Crashes::default();
    for ended_ms in [1_000, 1_500, 2_000] {
        crashes.add(ended_ms, &[traits(CALLER, &["first", "popular"])]);
    }

    crashes.ledger.record_sound(part("popular"), 1_200);

    assert!(crashes.judge(2_000).is_empty());
}

#[test]
fn part_that_was_in_flight_at_fewer_crashes_is_explained_by_the_other() {
    let mut crashes = Crashes::default();
    for ended_ms in [1_000, 1_500, 2_000, 2_500] {
        let deadly = traits(CALLER, &["first", "deadly"]);
        let mut requests = vec![deadly];
        if ended_ms > 1_000 {
            requests.push(traits(CALLER, &["first", "popular"]));
        }
        crashes.add(ended_ms, &requests);
    }

    let verdicts = crashes.judge(2_500);
    for verdict in verdicts.clone() {
        crashes.quarantine.convict(2_500, 1, verdict);
    }

    assert_eq!(verdicts.len(), 1);
    assert_eq!(verdicts[0].suspect, part("deadly"));
    assert!(crashes.judge(2_500).is_empty());
}

#[test]
fn first_part_of_most_requests_is_convicted_only_by_five_crashes() {
    let mut crashes = Crashes::default();
    for (index, other) in ["a", "b", "c", "d", "e"].iter().enumerate() {
        assert!(crashes.judge(10_000).is_empty(), "after {index} crashes");
        let ended_ms = 1_000 + index as u64 * 500;
        crashes.add(ended_ms, &[traits(CALLER, &["first", other])]);
    }

    assert_eq!(crashes.suspects(10_000), [part("first")]);
}

/// Guards against one caller that has the part of another one refused by sending it
/// together with deadly ones.
#[test]
fn crashes_of_one_caller_convict_a_part_for_this_caller_only() {
    let mut crashes = Crashes::default();
    for ended_ms in [1_000, 1_500, 2_000] {
        let victim = traits(CALLER, &["first", "shared"]);
        let mut requests = vec![traits(OTHER_CALLER, &["x", "shared"])];
        if ended_ms < 2_000 {
            requests.push(victim);
        }
        crashes.add(ended_ms, &requests);
    }

    for verdict in crashes.judge(2_000) {
        crashes.quarantine.convict(2_000, 1, verdict);
    }

    let find = |caller| crashes.quarantine.find(&traits(caller, &["x", "shared"]));
    assert!(find(OTHER_CALLER).is_some());
    assert!(find(CALLER).is_none());
}

#[test]
fn crash_without_the_convicted_caller_widens_the_entry_to_all() {
    let mut crashes = Crashes::of_deadly_part(&[1_000, 1_500, 2_000]);
    for verdict in crashes.judge(2_000) {
        crashes.quarantine.convict(2_000, 1, verdict);
    }

    crashes.add(4_000, &[traits(OTHER_CALLER, &["x", "deadly"])]);
    for verdict in crashes.judge(4_000) {
        crashes.quarantine.convict(4_000, 1, verdict);
    }

    let third = traits("c.example", &["y", "deadly"]);
    assert!(crashes.quarantine.find(&third).is_some());
    assert!(crashes.judge(4_000).is_empty(), "the entry is known");
}

#[test]
fn reports_of_several_hosts_on_one_crash_are_one_crash() {
    let mut crashes = Crashes::default();
    let upstream = UpstreamId::new("i-1");
    for number in 0_u64..5 {
        let lost = LostRequest {
            id: Fingerprint::of(&[&number.to_be_bytes()]),
            traits: traits(CALLER, &["first", "deadly"]),
            sent_before_ms: 10,
        };
        let now_ms = 1_000 + number * 400;
        crashes.ledger.record(now_ms, &upstream, 1, 1_000, [lost]);
    }

    assert!(crashes.judge(5_000).is_empty());
}

#[test]
fn entry_ends_with_a_sound_response_and_stays_without() {
    let mut quarantine = Quarantine::default();
    let verdict = Verdict {
        suspect: part("p"),
        caller: None,
        crashes_ms: vec![1_000, 2_000, 3_000],
        has_rivals: false,
    };
    quarantine.convict(3_300, 7, verdict);

    let early = quarantine.release(7, part("p"), 900);
    let late = quarantine.release(7, part("p"), 1_500);

    assert!(!early, "it began before all crashes");
    assert!(late, "two crashes are not enough");
    assert!(quarantine.find(&traits(CALLER, &["p"])).is_none());
}

/// Guards against trials that crash more upstreams than may end after a conviction.
#[test]
fn few_trials_are_granted_in_the_first_minutes_and_one_at_a_time() {
    let mut quarantine = Quarantine::default();
    let verdict = Verdict {
        suspect: part("p"),
        caller: None,
        crashes_ms: vec![1_000, 2_000, 3_000],
        has_rivals: false,
    };
    quarantine.convict(0, 7, verdict);

    let mut granted_ms = Vec::new();
    for now_ms in 0..=200_000 {
        if quarantine.grant_trial(now_ms, 7, part("p")) {
            granted_ms.push(now_ms);
        }
    }

    assert_eq!(granted_ms, [5_000, 35_000]);
}

#[test]
fn every_change_has_a_higher_version_and_a_later_term_wins() {
    let mut quarantine = Quarantine::default();
    let verdict = |id: &str| Verdict {
        suspect: part(id),
        caller: None,
        crashes_ms: vec![1_000, 2_000, 3_000],
        has_rivals: false,
    };
    quarantine.convict(0, 7, verdict("p"));
    let first = quarantine.version;
    quarantine.grant_trial(5_000, 7, part("p"));
    let second = quarantine.version;

    quarantine.convict(6_000, 9, verdict("q"));

    assert!(first > Version::default() && second > first);
    assert_eq!(quarantine.version.term, 9);
    assert!(quarantine.version > second);
}

#[test]
fn callers_cannot_grow_what_is_kept() {
    let mut crashes = Crashes::default();
    let mut sound = SoundResponses::default();
    for number in 0..20_000_u64 {
        let id = format!("p{number}");
        let request = traits(CALLER, &[id.as_str()]);
        sound.record(&request, number);
        if number % 20 == 0 {
            crashes.add(number, &vec![request; 400]);
            let verdict = Verdict {
                suspect: part(&id),
                caller: None,
                crashes_ms: (0..100).collect(),
                has_rivals: false,
            };
            crashes.quarantine.convict(number, 1, verdict);
        }
    }

    assert!(sound.len() <= 4_096);
    assert!(crashes.quarantine.entries.len() <= 32);
    let kept = serde_json::to_vec(&crashes.quarantine).expect("JSON");
    assert!(kept.len() < 16 * 1024, "{} bytes", kept.len());
    assert!(crashes.ledger.watched(&crashes.quarantine).len() <= 24);
    let most_recent = part("p19999");
    assert_eq!(sound.get(most_recent), Some(19_999));
}

/// Guards against an acting host that judges the same crashes over and over: sound
/// responses arrive all the time.
#[test]
fn revision_changes_only_with_what_counts_against_suspects() {
    let mut crashes = Crashes::default();
    crashes.add(1_000, &[traits(CALLER, &["first", "popular"])]);
    let recorded = crashes.ledger.revision();

    crashes.ledger.record_sound(part("popular"), 900);
    crashes.ledger.record_sound(part("unknown"), 1_100);
    let not_cleared = crashes.ledger.revision();
    crashes.ledger.record_sound(part("popular"), 1_000);
    let cleared = crashes.ledger.revision();
    crashes.ledger.record_sound(part("popular"), 5_000);

    assert_eq!(not_cleared, recorded);
    assert!(cleared > recorded);
    assert_eq!(crashes.ledger.revision(), cleared);
}

/// Guards against a judgement that is not repeated although a report moves a crash to
/// before a sound response.
#[test]
fn revision_changes_with_the_end_of_an_upstream() {
    let mut crashes = Crashes::default();
    crashes.add(1_000, &[traits(CALLER, &["first", "popular"])]);
    let recorded = crashes.ledger.revision();

    let upstream = UpstreamId::new("i-1");
    crashes.ledger.record(1_100, &upstream, 1, 950, []);

    assert!(crashes.ledger.revision() > recorded);
}

/// Guards against crashes that are forgotten, and against parts that are refused because
/// only their sound responses are.
#[test]
fn stored_crashes_convict_the_same_suspects_after_a_restart() {
    let mut before = Crashes::default();
    for ended_ms in [1_000, 1_500] {
        let popular = traits(CALLER, &["first", "popular"]);
        before.add(ended_ms, &[traits(CALLER, &["first", "deadly"]), popular]);
    }
    before.ledger.record_sound(part("popular"), 1_800);

    let stored = before.to_stored();
    let mut after = Crashes {
        number: 100,
        ..Crashes::default()
    };
    after.ledger.restore(3_000, stored);
    let popular = traits(CALLER, &["first", "popular"]);
    after.add(4_000, &[traits(CALLER, &["first", "deadly"]), popular]);

    assert_eq!(after.suspects(4_000), [part("deadly")]);
}

/// Guards against crashes of another day that the store still holds.
#[test]
fn stored_crashes_do_not_count_once_they_are_too_old() {
    let before = Crashes::of_deadly_part(&[1_000, 1_500]);
    let stored = before.to_stored();
    let mut after = Crashes {
        number: 100,
        ..Crashes::default()
    };

    let next_day_ms = 86_400_000;
    after.ledger.restore(next_day_ms, stored);
    after.add(next_day_ms + 500, &[traits(CALLER, &["first", "deadly"])]);

    assert!(after.judge(next_day_ms + 500).is_empty());
}

#[test]
fn what_is_stored_of_crashes_is_bounded() {
    let mut crashes = Crashes::default();
    for number in 0..200 {
        crashes.add(
            1_000 + number * 400,
            &vec![traits(CALLER, &["first", "deadly"]); 300],
        );
    }

    let stored = crashes.to_stored();

    let bytes = serde_json::to_vec(&stored).expect("JSON").len();
    assert!(bytes < 32 * 1024, "{bytes} bytes");
}

/// Guards against an acting host that adds and drops entries for ever, since more suspects
/// are convicted than the list holds.
#[test]
fn judgement_ends_with_more_suspects_than_the_list_holds() {
    let mut crashes = Crashes::default();
    let parts: Vec<String> = (0..40).map(|n| format!("p{n}")).collect();
    for ended_ms in [1_000, 1_500, 2_000] {
        let requests = parts.iter().map(|id| traits(CALLER, &["first", id]));
        crashes.add(ended_ms, &requests.collect::<Vec<_>>());
    }

    let mut added = 0;
    loop {
        let verdicts = crashes.judge(2_000);
        let new = verdicts.into_iter().filter(|v| {
            let quarantine = &mut crashes.quarantine;
            quarantine.convict(2_000, 1, v.clone())
        });
        let new = new.count();
        added += new;
        if new == 0 {
            break;
        }
        assert!(added <= 1_000, "judgement does not end");
    }

    assert_eq!(crashes.quarantine.entries.len(), 32);
}

#[test]
fn quarantine_is_the_same_after_it_was_stored() {
    let mut quarantine = Quarantine::default();
    let verdict = Verdict {
        suspect: part("p"),
        caller: Some(Fingerprint::of(&[b"c"])),
        crashes_ms: vec![1_000, 2_000, 3_000],
        has_rivals: false,
    };
    quarantine.convict(0, 7, verdict);

    let stored = serde_json::to_vec(&quarantine).expect("JSON");
    let read: Quarantine = serde_json::from_slice(&stored).expect("JSON");

    assert_eq!(read, quarantine);
}

#[test]
fn repeated_request_is_convicted_and_its_prompt_parts_are_not() {
    let mut crashes = Crashes::default();
    let deadly = traits_with_body(CALLER, &["first", "second"], "deadly");
    for ended_ms in [1_000, 1_120, 1_240] {
        crashes.add(ended_ms, std::slice::from_ref(&deadly));
    }

    let suspects = crashes.suspects(1_240);

    assert_eq!(suspects, [Suspect::Whole(deadly.whole)]);
}

/// Guards against repeats that end all upstreams of a small service at once: they are sent
/// by several hosts before the first crash, and by none after the last.
#[test]
fn repeats_that_were_sent_together_convict_a_request_by_crashes_that_follow_closely() {
    let mut crashes = Crashes::default();
    let deadly = traits_with_body(CALLER, &[], "deadly");
    for ended_ms in [1_000, 1_060, 1_120] {
        crashes.add(ended_ms, std::slice::from_ref(&deadly));
    }

    let suspects = crashes.suspects(1_120);

    assert_eq!(suspects, [Suspect::Whole(deadly.whole)]);
}

#[test]
fn repeats_at_upstreams_that_end_at_the_same_moment_convict_nothing() {
    let mut crashes = Crashes::default();
    let popular = traits_with_body(CALLER, &[], "popular");
    for ended_ms in [1_000, 1_003, 1_008, 1_012] {
        crashes.add(ended_ms, std::slice::from_ref(&popular));
    }

    assert!(crashes.judge(1_012).is_empty());
}

/// Guards against one caller that has the request of another one refused.
#[test]
fn same_request_of_another_caller_is_another_request() {
    let own = traits_with_body(CALLER, &[], "same");
    let other = traits_with_body(OTHER_CALLER, &[], "same");

    assert_ne!(own.whole, other.whole);
}

#[test]
fn repeated_request_that_is_served_is_cleared() {
    let mut crashes = Crashes::default();
    let popular = traits_with_body(CALLER, &[], "popular");
    for ended_ms in [1_000, 1_500, 2_000] {
        crashes.add(ended_ms, std::slice::from_ref(&popular));
    }

    crashes
        .ledger
        .record_sound(Suspect::Whole(popular.whole), 1_200);

    assert!(crashes.judge(2_000).is_empty());
}

/// Guards against a popular part that is refused until its trial, although upstreams go on
/// to end without it.
#[test]
fn suspect_is_acquitted_if_upstreams_go_on_to_end_under_another() {
    let mut crashes = Crashes::default();
    for ended_ms in [1_000, 1_500, 2_000] {
        let popular = traits(CALLER, &["first", "popular"]);
        crashes.add(ended_ms, &[traits(CALLER, &["first", "deadly"]), popular]);
    }
    for verdict in crashes.judge(2_000) {
        assert!(verdict.has_rivals);
        crashes.quarantine.convict(2_000, 1, verdict);
    }
    let before = crashes.ledger.acquitted(2_400, &crashes.quarantine);

    crashes.add(2_500, &[traits(CALLER, &["first", "deadly"])]);
    let acquitted = crashes.ledger.acquitted(2_800, &crashes.quarantine);

    assert_eq!(crashes.quarantine.entries.len(), 2);
    assert!(before.is_empty());
    assert_eq!(acquitted, [part("popular")]);
}

/// Guards against a request that is sent again because upstreams have ended under other
/// requests with a part of its prompt, too.
#[test]
fn suspect_is_not_acquitted_by_a_broader_one() {
    let mut crashes = Crashes::default();
    let repeated = traits_with_body(CALLER, &["first", "second"], "deadly");
    for ended_ms in [1_000, 1_500, 2_000] {
        crashes.add(ended_ms, std::slice::from_ref(&repeated));
    }
    for verdict in crashes.judge(2_000) {
        crashes.quarantine.convict(2_000, 1, verdict);
    }
    for ended_ms in [3_000, 3_500, 4_000] {
        crashes.add(ended_ms, &[traits(CALLER, &["first", "second"])]);
    }
    for verdict in crashes.judge(4_000) {
        crashes.quarantine.convict(4_000, 1, verdict);
    }

    let acquitted = crashes.ledger.acquitted(4_300, &crashes.quarantine);

    assert_eq!(crashes.quarantine.entries.len(), 2);
    assert_eq!(acquitted, []);
}

/// Fleet of upstreams under load, in steps of 10 ms. Requests with one part crash their
/// upstream 20 to 500 ms after they begin.
struct Simulation {
    rng: Rng,
    crashes: Crashes,
    now_ms: u64,
    /// Requests in flight by upstream: sent and begin times, traits.
    running: Vec<Vec<(u64, u64, RequestTraits)>>,
    back_ms: Vec<u64>,
    ended: usize,
    /// Deadly requests sent later than 3 s after the fifth upstream has ended.
    sent_late: usize,
    fifth_ended_ms: u64,
    sound_sent: usize,
    sound_barred: usize,
}

impl Simulation {
    const STEP_MS: u64 = 10;
    const JUDGE_MS: u64 = 100;
    const RUN_MS: u64 = 2_500;
    const SOUND_AFTER_MS: u64 = 1_500;

    fn new(seed: u64, upstreams: usize) -> Self {
        Self {
            rng: Rng::new(seed),
            crashes: Crashes::default(),
            now_ms: 10_000,
            running: vec![Vec::new(); upstreams],
            back_ms: vec![0; upstreams],
            ended: 0,
            sent_late: 0,
            fifth_ended_ms: u64::MAX,
            sound_sent: 0,
            sound_barred: 0,
        }
    }

    fn deadly() -> RequestTraits {
        traits(CALLER, &["first", "deadly"])
    }

    /// Sends requests, ends upstreams and judges, for one step.
    fn step(&mut self, sound_per_step: usize, deadly_chance: usize) {
        self.now_ms += Self::STEP_MS;
        let mut arrivals = Vec::new();
        for _ in 0..sound_per_step {
            if self.rng.below(100) < 25 {
                // A third of the parts are popular.
                let popularity = self.rng.below(40).min(self.rng.below(40));
                let id = format!("p{popularity}");
                arrivals.push(traits(CALLER, &["first", id.as_str()]));
            }
        }
        if self.rng.below(1_000) < deadly_chance {
            arrivals.push(Self::deadly());
        }
        for request in arrivals {
            let index = self.rng.below(self.running.len());
            let now_ms = self.now_ms;
            let quarantine = &mut self.crashes.quarantine;
            let suspect = quarantine.find(&request).map(|e| e.suspect);
            let is_barred = suspect.is_some_and(|s| !quarantine.grant_trial(now_ms, 1, s));
            if !request.has(part("deadly")) {
                self.sound_sent += 1;
                self.sound_barred += usize::from(is_barred);
            }
            if !is_barred && self.back_ms[index] <= self.now_ms {
                let is_late = now_ms.checked_sub(self.fifth_ended_ms) > Some(3_000);
                self.sent_late += usize::from(is_late && request.has(part("deadly")));
                let begin_ms = self.now_ms + 50 + self.rng.below(400) as u64;
                self.running[index].push((self.now_ms, begin_ms, request));
            }
        }
        for index in 0..self.running.len() {
            self.run(index);
        }
        if self.now_ms.is_multiple_of(Self::JUDGE_MS) {
            let verdicts = self
                .crashes
                .ledger
                .judge(self.now_ms, &self.crashes.quarantine);
            for verdict in verdicts {
                self.crashes.quarantine.convict(self.now_ms, 1, verdict);
            }
            let quarantine = &mut self.crashes.quarantine;
            for suspect in self.crashes.ledger.acquitted(self.now_ms, quarantine) {
                quarantine.acquit(1, suspect);
            }
        }
    }

    fn run(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let is_deadly = |(_, begin_ms, request): &(u64, u64, RequestTraits)| {
            request.has(part("deadly")) && now_ms >= begin_ms + 20
        };
        if self.running[index].iter().any(is_deadly) {
            let lost = std::mem::take(&mut self.running[index]);
            self.end(index, lost);
            return;
        }
        let sound_since = |begin_ms: u64| now_ms.checked_sub(begin_ms + Self::SOUND_AFTER_MS);
        for (_, begin_ms, request) in &self.running[index] {
            if sound_since(*begin_ms).is_some_and(|ms| ms < Self::STEP_MS) {
                for (suspect, _) in request.suspects() {
                    self.crashes.ledger.record_sound(suspect, *begin_ms);
                    self.crashes.quarantine.release(1, suspect, *begin_ms);
                }
            }
        }
        self.running[index].retain(|(_, begin_ms, _)| now_ms < begin_ms + Self::RUN_MS);
    }

    fn end(&mut self, index: usize, lost: Vec<(u64, u64, RequestTraits)>) {
        let now_ms = self.now_ms;
        self.ended += 1;
        if self.ended == 5 {
            self.fifth_ended_ms = now_ms;
        }
        self.back_ms[index] = now_ms + 4_000;
        let suspects = lost
            .into_iter()
            .filter(|(_, begin_ms, _)| now_ms < begin_ms + Self::SOUND_AFTER_MS);
        let number = self.ended as u64;
        let lost: Vec<_> = suspects
            .enumerate()
            .map(|(at, (sent_ms, _, traits))| LostRequest {
                id: Fingerprint::of(&[&(number * 1_000 + at as u64).to_be_bytes()]),
                traits,
                sent_before_ms: now_ms - sent_ms,
            })
            .collect();
        let upstream = UpstreamId::new(&format!("i-{number}"));
        self.crashes
            .ledger
            .record(now_ms, &upstream, 1, now_ms, lost);
    }
}

#[test]
fn deadly_part_is_found_among_many_in_fleets_of_any_size() {
    for (upstreams, sound_per_step, seeds) in [(9, 2, 20), (18, 6, 20), (150, 60, 1)] {
        for seed in 0..seeds {
            let mut simulation = Simulation::new(seed, upstreams);
            for _ in 0..100 {
                simulation.step(sound_per_step, 0);
            }
            for _ in 0..2_000 {
                simulation.step(sound_per_step, 25);
            }

            let quarantine = &simulation.crashes.quarantine;
            let case = format!("{upstreams} upstreams, seed {seed}");
            assert!(quarantine.find(&Simulation::deadly()).is_some(), "{case}");
            let late = simulation.sent_late;
            assert!(
                late <= 3,
                "{late} sent late, {} ended, {case}",
                simulation.ended
            );
            assert!(quarantine.get(part("first")).is_none(), "{case}");
            let others = quarantine.entries.len() - 1;
            assert_eq!(others, 0, "sound parts refused at the end, {case}");
            let (sent, barred) = (simulation.sound_sent, simulation.sound_barred);
            assert!(
                barred * 2 <= sent,
                "{barred} of {sent} sound refused, {case}"
            );
        }
    }
}

#[test]
fn crashes_without_a_common_request_convict_nothing() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 18);
        for round in 0..2_000 {
            simulation.step(6, 0);
            if round % 150 == 149 {
                let index = simulation.rng.below(18);
                let lost = std::mem::take(&mut simulation.running[index]);
                simulation.end(index, lost);
            }
        }

        let entries = &simulation.crashes.quarantine.entries;
        assert!(entries.is_empty(), "{entries:?}, seed {seed}");
    }
}
