//! What a host does for others as the home of some cells.

use std::{future::Future, pin::Pin};

use crate::rpc::{Ask, Beat, BeatAnswer, Decided, Done};

/// The wait for a decision; dropping it takes the ticket back.
pub type Answering<'a> = Pin<Box<dyn Future<Output = Decided> + Send + 'a>>;

/// The home's side of grants.
pub trait Homes: Send + Sync {
    /// Decides on a ticket.
    fn ask(&self, ask: Ask) -> Answering<'_>;

    /// Hears from the holder of some grants.
    fn beat(&self, beat: Beat) -> BeatAnswer;

    /// Takes a grant back.
    fn done(&self, done: Done);
}
