//! Moving averages of observations, alone and by key.

use std::{collections::HashMap, hash::Hash};

/// Weight of a new observation in a moving average.
const GAIN: f64 = 0.2;
/// The most keys of a table; it is cleared at the next observation after that, to bound its memory.
const MAX_KEYS: usize = 50_000;

/// An exponentially weighted moving average; the first observation is its first value.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    value: Option<f64>,
    /// Number of observations.
    count: u64,
}

impl Average {
    /// Adds an observation.
    pub fn observe(&mut self, observation: f64) {
        self.count += 1;
        self.value =
            Some(self.value.map_or(observation, |value| value + GAIN * (observation - value)));
    }

    /// Returns the average, or `default` before the first observation.
    pub fn or(&self, default: f64) -> f64 {
        self.value.unwrap_or(default)
    }

    /// Returns the number of observations.
    pub fn count(&self) -> u64 {
        self.count
    }
}

/// Moving averages by key, of bounded size.
#[derive(Debug)]
pub struct Table<K> {
    averages: HashMap<K, Average>,
    /// The estimate for a key without observations.
    default: f64,
}

impl<K: Eq + Hash> Table<K> {
    /// Creates an empty table; `default` is the estimate for keys without observations.
    pub fn new(default: f64) -> Self {
        Self { averages: HashMap::new(), default }
    }

    /// Adds an observation for `key`.
    pub fn observe(&mut self, key: K, observation: f64) {
        if self.averages.len() >= MAX_KEYS {
            self.averages.clear();
        }
        self.averages.entry(key).or_default().observe(observation);
    }

    /// Returns the average for `key`, or the default without observations.
    pub fn get(&self, key: &K) -> f64 {
        self.averages.get(key).map_or(self.default, |average| average.or(self.default))
    }
}
