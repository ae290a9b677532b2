//! A budget for retries in proportion to first attempts.

/// Retries allowed before any first attempt.
const INITIAL_BALANCE: f64 = 5.0;
/// The most retries that can be saved up.
const MAX_BALANCE: f64 = 50.0;

/// The retries that are allowed at present; grows with each first attempt, shrinks with each retry.
#[derive(Debug)]
pub struct Budget {
    /// Retries that a first attempt adds; at most 1.
    ratio: f64,
    /// Retries allowed; between 0 and `MAX_BALANCE`.
    balance: f64,
}

impl Budget {
    /// Creates a budget that allows `ratio` retries for each first attempt, and `INITIAL_BALANCE`
    /// at first.
    pub fn new(ratio: f64) -> Self {
        Self { ratio, balance: INITIAL_BALANCE }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Returns whether a retry is allowed, and takes it from the balance if so.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
