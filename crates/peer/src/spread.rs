//! Spreads the configuration from host to host, and notices when the others fall silent.
//!
//! Each round greets one host drawn at random, so the cost a host does not grow with their number,
//! and news reach all in a number of rounds that grows with its logarithm (anti-entropy gossip).

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use wasabi_config::cell::Cell;
use wasabi_core::{
    errors::Result,
    io::Host,
    units::{Incarnation, Revision},
};

use crate::{
    link::Links,
    rpc::{Greeting, News},
};

/// Hosts that a starting host asks for the newest state.
const FIRST_PEERS: usize = 5;
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
        let count = if self.cell.is_ready() { 1 } else { FIRST_PEERS };
        let chosen: Vec<&Host> = others.choose_multiple(&mut rand::rng(), count).copied().collect();
        if chosen.is_empty() {
            self.answered.lock().clear();
            return;
        }
        if !self.cell.is_ready() {
            return self.join(&chosen).await;
        }
        let answered = self.greet(chosen[0].peer).await.is_ok();
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

    /// Takes the newest state that one of `hosts` has, so that one that lags does not set back a
    /// host that starts while the store is away.
    async fn join(&self, hosts: &[&Host]) {
        let mut newest: Option<(SocketAddr, Revision)> = None;
        for host in hosts {
            let Ok(theirs) = self.hello(host.peer).await else { continue };
            if theirs.revision > newest.map_or(Revision(0), |(_, revision)| revision) {
                newest = Some((host.peer, theirs.revision));
            }
        }
        let Some((peer, _)) = newest else { return };
        if let Ok(News::Whole(state)) = self.links.news(peer, Revision(0)).await {
            self.cell.replace(*state);
        }
    }

    async fn hello(&self, peer: SocketAddr) -> Result<Greeting> {
        let revision = self.cell.get().revision;
        let incarnation = self.incarnation.clone();
        self.links.hello(peer, Greeting { incarnation, revision }).await
    }

    async fn greet(&self, peer: SocketAddr) -> Result<()> {
        let revision = self.cell.get().revision;
        let theirs = self.hello(peer).await?;
        if theirs.revision <= revision {
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
