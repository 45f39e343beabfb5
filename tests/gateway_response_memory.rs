//! Memory of many responses that are read at the same time.

use currantcove::core::response_memory::{ResponseMemory, UNCOUNTED_BYTES};

const BUDGET_BYTES: usize = 1_000_000;

#[test]
fn responses_of_usual_size_are_read_while_the_budget_is_exhausted() {
    let mut memory = ResponseMemory::new(BUDGET_BYTES);

    let is_first_read = memory.grow(0, UNCOUNTED_BYTES + BUDGET_BYTES);
    let is_large_read = memory.grow(0, UNCOUNTED_BYTES + 1);
    let is_usual_read = memory.grow(0, UNCOUNTED_BYTES);

    assert!(is_first_read);
    assert!(!is_large_read);
    assert!(is_usual_read);
}

#[test]
fn released_memory_is_available_again() {
    let mut memory = ResponseMemory::new(BUDGET_BYTES);
    let held_bytes = UNCOUNTED_BYTES + BUDGET_BYTES;
    assert!(memory.grow(0, 10));
    assert!(memory.grow(10, held_bytes - 10));

    memory.release(held_bytes);

    assert_eq!(memory, ResponseMemory::new(BUDGET_BYTES));
}
