//! Work that requests cause at an engine, for the placement of models.
//!
//! Load patterns: in one deployment prompts are long, and an engine is busy once it
//! prefills for a third of its time, since running streams pause meanwhile. In
//! another one prompts are short and responses long, and an engine's batch is full
//! while it hardly ever prefills. Demand is expressed in prompt tokens; a request
//! counts for the larger of what it takes of the prefill time and of the batch.

/// Share of the batch that is as much as its whole prefill time is of the other
/// limit: an engine is busy with a third of its time spent on prefill, or with half
/// of its batch in use.
const BATCH_WEIGHT: f64 = 0.6;

/// Speed of an engine without other work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineSpeed {
    /// Prefill time per prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Time of a stream per output token, in microseconds; 0 if unknown.
    pub decode_us_per_token: f64,
    /// Requests that run concurrently.
    pub batch: u32,
}

impl EngineSpeed {
    /// Work of some requests, in prompt tokens.
    pub fn work_tokens(self, prompt_tokens: u64, output_tokens: u64) -> u64 {
        if self.prefill_us_per_token <= 0.0 || self.batch == 0 {
            return prompt_tokens;
        }
        let batch_us = output_tokens as f64 * self.decode_us_per_token / f64::from(self.batch);
        let equivalent = batch_us * BATCH_WEIGHT / self.prefill_us_per_token;
        prompt_tokens.max(equivalent as u64)
    }
}
