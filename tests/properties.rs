//! What comes from outside never panics and gets a typed error.

use currantcove::core::config::{parse_fleet, parse_team};
use currantcove::core::ids::ArtifactId;
use currantcove::core::ledger::{EntryState, Inventory, Ledger};
use currantcove::edge::chat::ChatRequest;
use currantcove::edge::kv_wire::WatchMessage;
use currantcove::services::peers::PeerMessage;
use currantcove::settings::Settings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 2_000;

/// Runner with a fixed seed, so that every run tries the same cases.
fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// JSON-like text: valid documents with bytes changed, and plain noise.
fn noise(valid: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let changed = (0..valid.len(), any::<u8>(), 0..valid.len()).prop_map(move |(at, byte, cut)| {
        let mut bytes = valid.as_bytes().to_vec();
        bytes[at] = byte;
        bytes.truncate(cut.max(1));
        bytes
    });
    prop_oneof![changed, proptest::collection::vec(any::<u8>(), 0..200)]
}

const TEAM: &str = r#"{"credentials_sha256":["00"],"models":{"a":{"version":"v1",
    "weights_mib":1,"kv_cache_mib":1}},"relies_on":["a"]}"#;
const CHAT: &str = r#"{"model":"a:b","stream":true,"messages":[{"role":"user","content":"x"}]}"#;

#[test]
fn configuration_and_settings_never_panic() {
    let run = runner().run(&noise(TEAM), |bytes| {
        let _ = (
            parse_team("t", &bytes),
            parse_fleet(&bytes),
            Settings::parse(&bytes),
        );
        Ok(())
    });

    assert_eq!(run, Ok(()));
}

#[test]
fn caller_bodies_never_panic_and_are_rewritten_whole() {
    let run = runner().run(&noise(CHAT), |bytes| {
        if let Ok(chat) = ChatRequest::parse(&bytes) {
            let rewritten = chat.rewrite_model(&ArtifactId::new("t/a@v1"));
            let again = ChatRequest::parse(&rewritten).expect("still a chat request");
            prop_assert_eq!(again.base_model(), "t/a@v1");
            prop_assert_eq!(again.is_streamed, chat.is_streamed);
        }
        Ok(())
    });

    assert_eq!(run, Ok(()));
}

#[test]
fn messages_of_peers_and_of_the_platform_never_panic() {
    let run = runner().run(
        &noise(r#"{"result":{"events":[{"kv":{"key":"YQ=="}}]}}"#),
        |bytes| {
            let _ = ciborium::from_reader::<PeerMessage, _>(bytes.as_slice());
            let _ = serde_json::from_slice::<WatchMessage>(&bytes);
            Ok(())
        },
    );

    assert_eq!(run, Ok(()));
}

#[test]
fn a_ledger_never_charges_more_than_its_memory_whatever_is_ordered() {
    let ops = proptest::collection::vec((0..3_u8, 0..5_usize, 1..60_u64), 1..60);
    let host = currantcove::core::ids::HostId::new("h");

    let run = runner().run(&ops, |ops| {
        let mut ledger = Ledger::new(100);
        ledger.acquire(&host);
        for (op, name, size_mib) in ops {
            let artifact = ArtifactId::new(&format!("t/{name}@v1"));
            match op {
                0 => drop(ledger.order_load(&host, &artifact, size_mib)),
                1 => drop(ledger.order_unload(&host, &artifact)),
                _ => {
                    let asked = ledger.ask();
                    ledger.observe(&asked, &Inventory::default(), true);
                }
            }
            prop_assert!(ledger.charged_mib() <= 100);
            let is_free = ledger
                .entries
                .values()
                .all(|e| e.state != EntryState::Resident);
            prop_assert!(is_free, "an empty inventory shows nothing resident");
        }
        Ok(())
    });

    assert_eq!(run, Ok(()));
}
