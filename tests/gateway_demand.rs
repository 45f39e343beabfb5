//! Reports of demand to the acting host.

use currantcove::core::balance::Weights;
use currantcove::core::ids::{ModelId, ServiceId};
use currantcove::core::load::RequestSize;
use currantcove::gateway::demand::{DemandCounters, DemandReporter};

fn request(counters: &mut DemandCounters, model: &str, count: u32) {
    let weights = Weights {
        model: ModelId::new(model),
        adapter: None,
    };
    let size = RequestSize {
        prompt_tokens: 1_000,
        output_tokens: 100,
    };
    for _ in 0..count {
        counters.record_request(1, &ServiceId::new("drafts"), &weights, size);
    }
}

/// Guards against a new acting host that evicts models in use: each host's first
/// report contained all requests since its start, which the acting host took for a
/// sudden rise of the models that had been popular, however long ago.
#[test]
fn new_acting_host_receives_only_requests_of_its_term() {
    let mut counters = DemandCounters::default();
    let mut reporter = DemandReporter::default();
    reporter.take_changed(10, 1, &counters);
    request(&mut counters, "once-popular", 500);
    reporter.take_changed(5_000, 1, &counters);

    let (_, at_change) = reporter.take_changed(9_000, 2, &counters);
    request(&mut counters, "popular-now", 3);
    let (since_ms, later) = reporter.take_changed(9_400, 2, &counters);

    assert!(at_change.is_empty(), "{at_change:?}");
    assert_eq!(since_ms, 9_000);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].1, ModelId::new("popular-now"));
    assert_eq!((later[0].2.requests, later[0].2.prompt_tokens), (3, 3_000));
}

#[test]
fn counts_are_cumulative_within_a_term() {
    let mut counters = DemandCounters::default();
    let mut reporter = DemandReporter::default();
    reporter.take_changed(10, 1, &counters);

    request(&mut counters, "m", 1);
    let (_, first) = reporter.take_changed(20, 1, &counters);
    request(&mut counters, "m", 2);
    let (_, second) = reporter.take_changed(30, 1, &counters);
    let (_, third) = reporter.take_changed(40, 1, &counters);

    assert_eq!((first[0].2.requests, second[0].2.requests), (1, 3));
    assert!(third.is_empty());
}
