//! A budget for retries, as a share of first tries.

/// Tries that may be repeated before any first try has paid for them.
const START: f64 = 5.0;
const MAX: f64 = 50.0;

/// Grows with each first try and shrinks with each retry.
#[derive(Debug)]
pub struct Budget {
    /// What a first try adds; at most 1.
    share: f64,
    /// Between 0 and `MAX`.
    saved: f64,
}

impl Budget {
    /// Gets a budget that allows `share` retries a first try.
    pub fn new(share: f64) -> Self {
        Self { share, saved: START }
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + self.share).min(MAX);
    }

    /// Returns whether a retry is allowed, and pays for it.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
