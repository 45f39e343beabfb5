//! Requests whose bytes may be held up on the way to an upstream.

use currantcove::core::path_watch::{CHECK_AFTER_MS, PathStep, PathWatch, RESET_AFTER_MS};

/// Time after which the kernel gives up a connection, counted from the request.
const KERNEL_TIMEOUT_MS: u64 = 3_000;
/// Time that a check without an answer takes.
const CHECK_TIMEOUT_MS: u64 = 300;

/// Plays a request on a path that answers or not at a time; the time of the reset, if
/// there is one before the kernel gives up.
fn reset_at(answers: impl Fn(u64) -> bool, leaves_at_ms: u64) -> Option<u64> {
    let mut watch = PathWatch::default();
    let mut now_ms = 0;
    while now_ms < KERNEL_TIMEOUT_MS {
        match watch.next_step(now_ms, now_ms >= leaves_at_ms) {
            PathStep::Wait(wait_ms) => now_ms += wait_ms,
            PathStep::Check if answers(now_ms) => {
                now_ms += 2;
                watch.on_answer(now_ms);
            }
            PathStep::Check => {
                now_ms += CHECK_TIMEOUT_MS;
                watch.on_silence(now_ms);
            }
            PathStep::Reset => return Some(now_ms),
            PathStep::Delivered => return None,
        }
    }
    None
}

#[test]
fn request_in_a_lasting_partition_is_reset_before_the_kernel_gives_up() {
    let reset_ms = reset_at(|_| false, u64::MAX).expect("reset");

    assert!(reset_ms >= RESET_AFTER_MS, "{reset_ms}");
    assert!(
        reset_ms + CHECK_TIMEOUT_MS < KERNEL_TIMEOUT_MS,
        "{reset_ms}"
    );
}

#[test]
fn request_at_a_slow_upstream_is_never_reset() {
    for leaves_at_ms in [0, 700, 1_500, u64::MAX] {
        assert_eq!(reset_at(|_| true, leaves_at_ms), None);
    }
}

#[test]
fn request_at_an_upstream_that_is_silent_for_a_second_is_not_reset() {
    for silent_from_ms in [0, 100, 400, 500] {
        let is_silent = |at_ms| (silent_from_ms..silent_from_ms + 1_000).contains(&at_ms);

        assert_eq!(reset_at(|at_ms| !is_silent(at_ms), u64::MAX), None);
    }
}

#[test]
fn held_up_request_to_a_leaving_upstream_is_reset_at_once() {
    for leaves_at_ms in [0, 300, 900, 1_500] {
        let reset_ms = reset_at(|_| false, leaves_at_ms).expect("reset");

        let latest_ms = leaves_at_ms.max(CHECK_AFTER_MS) + CHECK_TIMEOUT_MS + 100;
        assert!(reset_ms <= latest_ms, "{leaves_at_ms}: {reset_ms}");
    }
}

/// Guards against bytes that arrive seconds after a partition has healed: the kernel
/// sends them again at doubling intervals.
#[test]
fn request_held_up_until_its_retransmission_is_reset_when_the_upstream_leaves() {
    let heals_at_ms = 1_200;
    let leaves_at_ms = 1_900;

    let reset_ms = reset_at(|at_ms| at_ms >= heals_at_ms, leaves_at_ms).expect("reset");

    assert!(
        (leaves_at_ms..leaves_at_ms + 100).contains(&reset_ms),
        "{reset_ms}"
    );
}

#[test]
fn request_is_delivered_once_it_was_sent_again_after_a_partition() {
    let mut watch = PathWatch::default();
    watch.on_silence(800);
    watch.on_answer(1_000);

    let before = watch.next_step(2_199, true);
    let after = watch.next_step(2_200, true);

    assert_eq!((before, after), (PathStep::Reset, PathStep::Delivered));
}
