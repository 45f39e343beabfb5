//! Work of requests at engines of different speeds.

use std::time::Duration;

use currantcove::core::engine_work::EngineSpeed;
use currantcove::core::ids::UpstreamId;
use currantcove::core::load::{AttemptOutcome, LoadTable, RequestSize, min_decode_us_per_token};

/// Engine that prefills 19 tokens in a millisecond and decodes in 9 ms steps.
fn slow_prefill() -> EngineSpeed {
    EngineSpeed {
        prefill_us_per_token: 52.0,
        decode_us_per_token: 9_000.0,
        batch: 24,
    }
}

/// Engine that prefills 39 tokens in a millisecond and decodes in 6 ms steps.
fn fast_prefill() -> EngineSpeed {
    EngineSpeed {
        prefill_us_per_token: 26.0,
        decode_us_per_token: 6_000.0,
        batch: 24,
    }
}

#[test]
fn long_prompts_count_by_their_tokens() {
    let work = slow_prefill().work_tokens(1_460, 171);

    assert_eq!(work, 1_460);
}

/// Guards against a full batch that counts as an idle engine: with short prompts and
/// long responses, the batch was full while prefill took a fifth of the time, and no
/// further copy was planned.
#[test]
fn full_batch_is_over_the_utilisation_at_which_copies_are_added() {
    const TARGET_UTILISATION: f64 = 0.35;
    let speed = fast_prefill();
    let (prompt_tokens, output_tokens) = (826, 294);
    let response = Duration::from_micros(output_tokens * 6_000);
    let per_s = f64::from(speed.batch) / response.as_secs_f64();

    let work = speed.work_tokens(prompt_tokens, output_tokens) as f64;

    let by_prefill = per_s * prompt_tokens as f64 * speed.prefill_us_per_token / 1e6;
    let by_work = per_s * work * speed.prefill_us_per_token / 1e6;
    assert!(by_prefill < TARGET_UTILISATION, "{by_prefill}");
    assert!(by_work > TARGET_UTILISATION, "{by_work}");
}

#[test]
fn unknown_decode_speed_leaves_the_prompt_tokens() {
    let speed = EngineSpeed {
        decode_us_per_token: 0.0,
        ..fast_prefill()
    };

    assert_eq!(speed.work_tokens(826, 294), 826);
}

#[test]
fn decode_speed_is_measured_from_the_first_event_to_the_end() {
    let mut loads = LoadTable::default();
    let size = RequestSize {
        prompt_tokens: 1_000,
        output_tokens: 100,
    };
    let mut sent = loads.on_sent(0, &UpstreamId::new("e1"), size);

    loads.on_first_response(2_000, &mut sent);
    loads.on_end(2_900, &sent, AttemptOutcome::Succeeded);

    let load = loads.get("e1").expect("load");
    let decode_us = min_decode_us_per_token([load].into_iter());
    assert!((decode_us - 9_000.0).abs() < 1.0, "{decode_us}");
}
