//! Property tests: external input never causes a panic, and the ledger never
//! exceeds its memory.

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

/// Runner with a fixed seed, so that every run generates the same cases.
fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Input bytes: a valid document with one byte changed and then truncated, or
/// random bytes.
fn mutated_or_random(valid: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let mutated =
        (0..valid.len(), any::<u8>(), 0..valid.len()).prop_map(move |(index, byte, length)| {
            let mut bytes = valid.as_bytes().to_vec();
            bytes[index] = byte;
            bytes.truncate(length.max(1));
            bytes
        });
    prop_oneof![mutated, proptest::collection::vec(any::<u8>(), 0..200)]
}

const TEAM: &str = r#"{"credentials_sha256":["00"],"models":{"a":{"version":"v1",
    "weights_mib":1,"kv_cache_mib":1}},"relies_on":["a"]}"#;
const CHAT: &str = r#"{"model":"a:b","stream":true,"messages":[{"role":"user","content":"x"}]}"#;

#[test]
fn parsing_configuration_and_settings_never_panics() {
    let run = runner().run(&mutated_or_random(TEAM), |bytes| {
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
fn request_bodies_never_panic_and_stay_valid_when_rewritten() {
    let run = runner().run(&mutated_or_random(CHAT), |bytes| {
        if let Ok(chat) = ChatRequest::parse(&bytes) {
            let rewritten = chat.rewrite_model(&ArtifactId::new("t/a@v1"));
            let reparsed = ChatRequest::parse(&rewritten).expect("still a chat request");
            prop_assert_eq!(reparsed.base_model(), "t/a@v1");
            prop_assert_eq!(reparsed.is_streamed, chat.is_streamed);
        }
        Ok(())
    });

    assert_eq!(run, Ok(()));
}

#[test]
fn parsing_peer_and_platform_messages_never_panics() {
    let run = runner().run(
        &mutated_or_random(r#"{"result":{"events":[{"kv":{"key":"YQ=="}}]}}"#),
        |bytes| {
            let _ = ciborium::from_reader::<PeerMessage, _>(bytes.as_slice());
            let _ = serde_json::from_slice::<WatchMessage>(&bytes);
            Ok(())
        },
    );

    assert_eq!(run, Ok(()));
}

#[test]
fn random_orders_never_charge_more_than_the_capacity_of_the_ledger() {
    let operations = proptest::collection::vec((0..3_u8, 0..5_usize, 1..60_u64), 1..60);
    let host = currantcove::core::ids::HostId::new("h");

    let run = runner().run(&operations, |operations| {
        let mut ledger = Ledger::new(100);
        ledger.acquire(&host);
        for (operation, name, size_mib) in operations {
            let artifact = ArtifactId::new(&format!("t/{name}@v1"));
            match operation {
                0 => drop(ledger.order_load(&host, &artifact, size_mib)),
                1 => drop(ledger.order_unload(&host, &artifact)),
                _ => {
                    let snapshot = ledger.snapshot();
                    ledger.apply_inventory(&snapshot, &Inventory::default(), true);
                }
            }
            prop_assert!(ledger.charged_mib() <= 100);
            let is_none_resident = ledger
                .entries
                .values()
                .all(|e| e.state != EntryState::Resident);
            prop_assert!(
                is_none_resident,
                "an empty inventory shows nothing resident"
            );
        }
        Ok(())
    });

    assert_eq!(run, Ok(()));
}

#[test]
fn end_of_a_key_range_is_after_all_keys_with_the_prefix() {
    use currantcove::edge::kv::prefix_end;

    for prefix in ["", "/currantcove/", "teams/red", "\u{7f}"] {
        let end = prefix_end(prefix);
        for suffix in ["", "0", "zz", "\u{10ffff}"] {
            let key = format!("{prefix}{suffix}");
            // The service takes a single zero byte for the end of all keys.
            assert!(end == [0] || key.as_bytes() < end.as_slice(), "{prefix:?}");
        }
    }
    assert_eq!(prefix_end(""), [0]);
    assert_eq!(prefix_end("a"), b"b");
}
