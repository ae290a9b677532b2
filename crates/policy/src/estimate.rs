//! Estimates that correct themselves from what was observed.

use std::{collections::HashMap, hash::Hash};

/// The weight of a new observation in a moving average.
const GAIN: f64 = 0.2;
/// How many keys are kept before the table starts anew.
const MAX_KEYS: usize = 50_000;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: Option<f64>,
    /// How many observations it has seen.
    count: u64,
}

impl Average {
    /// Takes in an observation.
    pub fn observe(&mut self, seen: f64) {
        self.count += 1;
        self.value = Some(self.value.map_or(seen, |value| value + GAIN * (seen - value)));
    }

    /// Returns the average, or `default` before the first observation.
    pub fn or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }

    /// Returns how many observations were taken in.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Moving averages by key, of bounded size.
#[derive(Debug)]
pub struct Table<K> {
    averages: HashMap<K, Average>,
    /// What an unknown key is taken to be.
    default: f64,
}

impl<K: Eq + Hash> Table<K> {
    /// Gets an empty table.
    pub fn new(default: f64) -> Self {
        Self { averages: HashMap::new(), default }
    }

    /// Takes in an observation for `key`.
    pub fn observe(&mut self, key: K, seen: f64) {
        if self.averages.len() >= MAX_KEYS {
            self.averages.clear();
        }
        self.averages.entry(key).or_default().observe(seen);
    }

    /// Returns the estimate for `key`.
    pub fn get(&self, key: &K) -> f64 {
        self.averages.get(key).map_or(self.default, |average| average.or(self.default))
    }
}
