//! What an engine is expected to keep of prompts that it has read.

use std::{collections::HashMap, time::Instant};

use wasabi_core::call::Prompt;

/// The part of an engine's memory that is expected to hold cached prompts.
const CACHE_SHARE: f64 = 0.5;

/// Parts of prompts, the least recently used of which yield.
#[derive(Debug)]
pub struct Cache {
    /// In tokens.
    capacity: u64,
    /// Never more than `capacity` once `touch` has returned, unless one part alone is larger.
    used: u64,
    parts: HashMap<u64, (u32, Instant)>,
}

impl Cache {
    /// Gets an empty cache of an engine with `memory` tokens.
    pub fn new(memory: u64) -> Self {
        Self { capacity: (memory as f64 * CACHE_SHARE) as u64, used: 0, parts: HashMap::new() }
    }

    /// Takes in that an engine reads a part.
    pub fn touch(&mut self, now: Instant, id: u64, tokens: u32) {
        if let Some((before, _)) = self.parts.insert(id, (tokens, now)) {
            self.used -= u64::from(before);
        }
        self.used += u64::from(tokens);
        while self.used > self.capacity && self.parts.len() > 1 {
            let oldest =
                self.parts.iter().min_by_key(|(id, (_, at))| (*at, **id)).map(|(id, _)| *id);
            let Some((tokens, _)) = oldest.and_then(|id| self.parts.remove(&id)) else { break };
            self.used -= u64::from(tokens);
        }
    }

    /// Returns whether the engine is expected to keep a part.
    pub fn holds(&self, id: u64) -> bool {
        self.parts.contains_key(&id)
    }

    /// Returns how many tokens of the prompt need not be read: those of the leading cached parts.
    pub fn cached(&self, prompt: &Prompt) -> u32 {
        let known = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }
}
