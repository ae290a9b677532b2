//! Spreads the configuration, and what hosts know of servers and requests, by anti-entropy gossip, and
//! detects isolation.
//!
//! Each round contacts one random host, so the load per host does not grow with the number of
//! hosts, and an update reaches all hosts in a number of rounds that grows with the logarithm of
//! their number.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use parking_lot::Mutex;
use rand::seq::IndexedRandom as _;
use wasabi_config::current::CurrentState;
use wasabi_core::{
    errors::Result,
    io::Host,
    units::{Incarnation, Revision},
};

use crate::{
    client::PeerClients,
    grants::GrantHandler,
    rpc::{Greeting, StateUpdate},
};

/// Hosts that a starting host asks for the newest state.
const BOOTSTRAP_PEERS: usize = 5;
/// Recent rounds by which isolation is detected.
const RECENT_ROUNDS: usize = 6;

/// The gossip rounds of one host.
pub struct Gossip {
    clients: Arc<PeerClients>,
    config: Arc<CurrentState>,
    incarnation: Incarnation,
    /// What this host knows of servers and requests goes with the greetings.
    grants: Arc<dyn GrantHandler>,
    /// Whether each of the last rounds was answered; at most `RECENT_ROUNDS`.
    answered: Mutex<VecDeque<bool>>,
}

impl Gossip {
    /// Creates the gossip rounds of the process `incarnation`, which update `config`.
    pub fn new(
        clients: Arc<PeerClients>,
        config: Arc<CurrentState>,
        incarnation: Incarnation,
        grants: Arc<dyn GrantHandler>,
    ) -> Self {
        Self { clients, config, incarnation, grants, answered: Mutex::default() }
    }

    /// Contacts a random one of `hosts` and takes over its configuration if that is newer.
    ///
    /// A host without a configuration contacts several instead and takes the newest.
    pub async fn round(&self, hosts: &[Host]) {
        let others: Vec<&Host> =
            hosts.iter().filter(|host| host.name.as_str() != self.incarnation.host()).collect();
        let count = if self.config.is_ready() { 1 } else { BOOTSTRAP_PEERS };
        let chosen: Vec<&Host> = others.choose_multiple(&mut rand::rng(), count).copied().collect();
        if chosen.is_empty() {
            self.answered.lock().clear();
            return;
        }
        if !self.config.is_ready() {
            return self.load_newest(&chosen).await;
        }
        let answered = self.sync_with(chosen[0].peer).await.is_ok();
        let mut rounds = self.answered.lock();
        rounds.push_back(answered);
        if rounds.len() > RECENT_ROUNDS {
            rounds.pop_front();
        }
    }

    /// Returns whether fewer than half of the recent rounds were answered; false if there were
    /// none.
    pub fn is_isolated(&self) -> bool {
        let rounds = self.answered.lock();
        let answered = rounds.iter().filter(|answered| **answered).count();
        !rounds.is_empty() && answered * 2 < rounds.len()
    }

    /// Takes the newest state found on `hosts`. Several are asked because any one of them may lag
    /// behind, and the store may be unavailable.
    async fn load_newest(&self, hosts: &[&Host]) {
        let mut newest: Option<(SocketAddr, Revision)> = None;
        for host in hosts {
            let Ok(theirs) = self.hello(host.peer).await else { continue };
            if theirs.revision > newest.map_or(Revision(0), |(_, revision)| revision) {
                newest = Some((host.peer, theirs.revision));
            }
        }
        let Some((peer, _)) = newest else { return };
        if let Ok(StateUpdate::Whole(state)) = self.clients.state_update(peer, Revision(0)).await {
            self.config.replace(*state);
        }
    }

    async fn hello(&self, peer: SocketAddr) -> Result<Greeting> {
        let revision = self.config.get().revision;
        let incarnation = self.incarnation.clone();
        let facts = self.grants.facts();
        let theirs = self.clients.hello(peer, Greeting { incarnation, revision, facts }).await?;
        self.grants.merge_facts(theirs.facts.clone());
        Ok(theirs)
    }

    async fn sync_with(&self, peer: SocketAddr) -> Result<()> {
        let revision = self.config.get().revision;
        let theirs = self.hello(peer).await?;
        if theirs.revision <= revision {
            return Ok(());
        }
        match self.clients.state_update(peer, revision).await? {
            StateUpdate::Entries(entries) => {
                self.config.apply_entries(&entries);
            }
            StateUpdate::Whole(state) => self.config.replace(*state),
        }
        Ok(())
    }
}
