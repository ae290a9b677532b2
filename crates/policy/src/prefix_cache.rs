//! Model of an engine's prefix cache: the parts of prompts that it is expected to have cached.

use std::{collections::HashMap, time::Instant};

use wasabi_core::call::Prompt;

/// The share of an engine's memory that is expected to hold cached prompts.
const CACHE_SHARE: f64 = 0.5;

/// The cached prompt parts of one engine; the least recently used ones are evicted.
#[derive(Debug)]
pub struct Cache {
    /// In tokens.
    capacity: u64,
    /// In tokens; never more than `capacity` once `touch` has returned, unless one part alone is
    /// larger.
    used: u64,
    /// Tokens and last use, by part id.
    parts: HashMap<u64, (u32, Instant)>,
}

impl Cache {
    /// Creates an empty cache of an engine whose memory holds `memory` tokens.
    pub fn new(memory: u64) -> Self {
        Self { capacity: (memory as f64 * CACHE_SHARE) as u64, used: 0, parts: HashMap::new() }
    }

    /// Records that the engine reads a part, and evicts others if it does not fit.
    pub fn touch(&mut self, now: Instant, id: u64, tokens: u32) {
        if let Some((previous, _)) = self.parts.insert(id, (tokens, now)) {
            self.used -= u64::from(previous);
        }
        self.used += u64::from(tokens);
        while self.used > self.capacity && self.parts.len() > 1 {
            let oldest =
                self.parts.iter().min_by_key(|(id, (_, at))| (*at, **id)).map(|(id, _)| *id);
            let Some((tokens, _)) = oldest.and_then(|id| self.parts.remove(&id)) else { break };
            self.used -= u64::from(tokens);
        }
    }

    /// Returns whether the engine is expected to have a part cached.
    pub fn contains(&self, id: u64) -> bool {
        self.parts.contains_key(&id)
    }

    /// Returns how many tokens of the prompt need no prefill: those of the leading cached parts.
    pub fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let cached = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }
}
