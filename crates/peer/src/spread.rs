//! Spreads the configuration from host to host, and notices when the others fall silent.
//!
//! Each round greets one host drawn at random, so the cost a host does not grow with their number,
//! and news reach all in a number of rounds that grows with its logarithm (anti-entropy gossip).

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use wasabi_config::cell::Cell;
use wasabi_core::{errors::Result, io::Host, units::Incarnation};

use crate::{
    link::Links,
    rpc::{Greeting, News},
};

/// Rounds whose outcome is remembered.
const ROUNDS: usize = 6;

/// One host's rounds.
pub struct Spread {
    links: Arc<Links>,
    cell: Arc<Cell>,
    incarnation: Incarnation,
    /// Whether each of the last rounds was answered; at most `ROUNDS`.
    answered: Mutex<VecDeque<bool>>,
}

impl Spread {
    /// Gets the rounds of `incarnation`.
    pub fn new(links: Arc<Links>, cell: Arc<Cell>, incarnation: Incarnation) -> Self {
        Self { links, cell, incarnation, answered: Mutex::default() }
    }

    /// Greets one of `hosts` and takes over what is newer there.
    pub async fn round(&self, hosts: &[Host]) {
        let others: Vec<&Host> =
            hosts.iter().filter(|host| host.name.as_str() != self.incarnation.host()).collect();
        let Some(host) = others.choose(&mut rand::rng()).copied() else {
            self.answered.lock().clear();
            return;
        };
        let answered = self.greet(host.peer).await.is_ok();
        let mut rounds = self.answered.lock();
        rounds.push_back(answered);
        if rounds.len() > ROUNDS {
            rounds.pop_front();
        }
    }

    /// Returns whether fewer than half of the last rounds were answered, of those that there were.
    pub fn is_alone(&self) -> bool {
        let rounds = self.answered.lock();
        let answered = rounds.iter().filter(|answered| **answered).count();
        !rounds.is_empty() && answered * 2 < rounds.len()
    }

    async fn greet(&self, peer: SocketAddr) -> Result<()> {
        let revision = self.cell.get().revision;
        let incarnation = self.incarnation.clone();
        let theirs = self.links.hello(peer, Greeting { incarnation, revision }).await?;
        if theirs.revision <= revision && self.cell.is_ready() {
            return Ok(());
        }
        match self.links.news(peer, revision).await? {
            News::Entries(entries) => {
                self.cell.offer(&entries);
            }
            News::Whole(state) => self.cell.replace(*state),
        }
        Ok(())
    }
}
