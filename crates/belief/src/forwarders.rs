//! Which hosts pass on the announcements of a host to the other hosts of their failure domain.
//!
//! In a large fleet an announcement to each host of every other domain would be most of the bytes
//! between domains, and those are paid for. So a host sends its announcement to two hosts of each other domain,
//! which pass it on: the bytes between domains grow with hosts x domains, not with the square of the
//! hosts.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
};

use wasabi_core::{
    digest::digest,
    units::{Domain, HostId},
};

/// Announcements of a host that are remembered, to drop the copies that come over another forwarder.
const REMEMBERED: usize = 32;

/// A host that may pass announcements on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its failure domain.
    pub domain: Domain,
    /// Its name.
    pub host: HostId,
    /// Its address.
    pub address: SocketAddr,
}

/// Returns the addresses of the forwarders of the host `sender`, two for each domain of `candidates`.
///
/// One is always the same, so that its echoes bound the ages of what it passes on. The other one
/// changes with `round`, so that a host that is cut off from the first one is heard all the same.
pub fn choose(sender: &HostId, round: u32, candidates: &[Candidate]) -> Vec<SocketAddr> {
    let mut domains: BTreeMap<&Domain, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        domains.entry(&candidate.domain).or_default().push(candidate);
    }
    let steady = |candidate: &&&Candidate| digest(&("forwarder", sender, &candidate.host));
    let changing = |candidate: &&&Candidate| digest(&("forwarder", sender, &candidate.host, round));
    let of_domain = |hosts: Vec<&Candidate>| {
        let first = hosts.iter().max_by_key(steady).map(|candidate| candidate.address);
        let rest = hosts.iter().filter(|candidate| Some(candidate.address) != first);
        let second = rest.max_by_key(changing).map(|candidate| candidate.address);
        first.into_iter().chain(second)
    };
    domains.into_values().flat_map(of_domain).collect()
}

/// The numbers of the announcements that came lately, by sender.
#[derive(Debug, Default)]
pub struct Received {
    numbers: HashMap<SocketAddr, VecDeque<u64>>,
}

impl Received {
    /// Records an announcement of `sender`; returns whether it is the first copy.
    pub fn record(&mut self, sender: SocketAddr, number: u64) -> bool {
        let known = self.numbers.entry(sender).or_default();
        if known.contains(&number) {
            return false;
        }
        if known.len() >= REMEMBERED {
            known.pop_front();
        }
        known.push_back(number);
        true
    }
}
