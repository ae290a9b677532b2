//! How the hosts share the requests that a server with a limit takes from all of them together.
//!
//! A few hosts, the same ones for all hosts that know the same fleet, send to such a server, each at an
//! equal part of the limit. A span of any length then brings the server what the limit allows in it, and
//! at most [`SPARE_REQUESTS`] and a second's worth more.

use std::time::{Duration, Instant};

use wasabi_core::{
    digest::digest,
    units::{HostId, RequestRate, ServerId},
};

/// Requests that the senders of one server may have saved up together, beside a second's worth.
const SPARE_REQUESTS: f64 = 3.0;
/// A lower limit counts as this one, in requests a second: without any request it would never be known
/// that the limit has been lifted.
const MIN_RATE: f64 = 0.1;

/// Returns the rate to share out for a server that takes `rate`, but no more than `most` requests in any
/// second, from all hosts together.
///
/// In a second the senders of a server send no more than what they have saved up, a second's worth and
/// [`SPARE_REQUESTS`], and what the rate allows meanwhile.
pub fn rate_within(rate: RequestRate, most: f64) -> RequestRate {
    let shared = ((most - SPARE_REQUESTS) / 2.0).clamp(0.0, rate.per_second());
    RequestRate::new(shared).unwrap_or(rate)
}

/// The hosts that share the limits of servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// This host; `None` if it has the whole of each limit, whatever its name.
    me: Option<HostId>,
    others: Vec<HostId>,
}

impl Fleet {
    /// The fleet of the host `me`, with the other hosts that may send to the same servers.
    pub fn new(me: HostId, others: Vec<HostId>) -> Self {
        Self { me: Some(me), others }
    }

    /// A fleet of one host, which has the whole of each limit.
    pub fn single() -> Self {
        Self::default()
    }

    /// Returns the number of hosts that send to a server with this limit.
    fn sender_count(&self, rate: f64) -> usize {
        ((rate + SPARE_REQUESTS) as usize).clamp(1, 1 + self.others.len())
    }

    /// Returns whether this host is among the `senders` hosts that send to `server`.
    fn sends(&self, server: &ServerId, senders: usize) -> bool {
        let Some(me) = &self.me else { return true };
        let mine = rendezvous(server, me);
        let before = self.others.iter().filter(|host| rendezvous(server, host) > mine);
        before.count() < senders
    }
}

/// This host's requests to one server.
#[derive(Debug, Default)]
pub struct Pace {
    /// The limit that the server names, if it names one.
    rate: Option<RequestRate>,
    /// This host's part of it; `None` if other hosts send to the server.
    part: Option<Part>,
    /// When the part's requests so far are used up at its rate. A request may be sent while this is
    /// at most `burst - 1` intervals ahead.
    used_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    /// The mean time from one request to the next.
    interval: Duration,
    /// Requests that may follow each other without a wait.
    burst: u32,
}

impl Pace {
    /// Sets the limit that the server names and the hosts that share it. A host that becomes a sender
    /// has nothing saved up.
    pub fn set(
        &mut self,
        now: Instant,
        server: &ServerId,
        rate: Option<RequestRate>,
        fleet: &Fleet,
    ) {
        let former = self.part;
        self.rate = rate;
        self.part = rate.and_then(|rate| part(server, rate, fleet));
        match (former, self.part) {
            (None, Some(part)) => {
                // Hosts that learn of the limit at the same moment begin spread over an interval.
                let wait = part.interval.mul_f64(phase(server, fleet.me.as_ref()));
                self.used_until = Some(now + part.interval * (part.burst - 1) + wait);
            }
            (Some(_), Some(part)) => {
                let latest = now + part.interval * part.burst;
                self.used_until = self.used_until.map(|until| until.min(latest));
            }
            (_, None) => {}
        }
    }

    /// Returns the limit that the server names.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Returns the time until the next request may be sent to the server, zero without a limit. For a
    /// host that is no sender, it is the mean time until the server takes one from any host.
    pub fn wait(&self, now: Instant) -> Duration {
        match (self.rate, self.part) {
            (None, _) => Duration::ZERO,
            (Some(rate), None) => Duration::from_secs_f64(1.0 / usable(rate)),
            (Some(_), Some(part)) => {
                let until = self.used_until.map_or(now, |until| until.max(now));
                let saved = part.interval * (part.burst - 1);
                until.saturating_duration_since(now).saturating_sub(saved)
            }
        }
    }

    /// Records that a request is sent to the server.
    pub fn record_send(&mut self, now: Instant) {
        if let Some(part) = self.part {
            self.used_until =
                Some(self.used_until.map_or(now, |until| until.max(now)) + part.interval);
        }
    }
}

/// Returns this host's part of a limit; `None` if it is no sender.
fn part(server: &ServerId, rate: RequestRate, fleet: &Fleet) -> Option<Part> {
    let rate = usable(rate);
    let senders = fleet.sender_count(rate);
    let burst = (((rate + SPARE_REQUESTS) / senders as f64) as u32).max(1);
    let interval = Duration::from_secs_f64(senders as f64 / rate);
    fleet.sends(server, senders).then_some(Part { interval, burst })
}

fn usable(rate: RequestRate) -> f64 {
    rate.per_second().max(MIN_RATE)
}

/// The order in which hosts are chosen as senders of a server.
fn rendezvous<'a>(server: &ServerId, host: &'a HostId) -> (u64, &'a HostId) {
    (digest(&("sender", server, host)), host)
}

/// Returns a number from 0 to 1 that differs by host.
fn phase(server: &ServerId, host: Option<&HostId>) -> f64 {
    digest(&("phase", server, host)) as f64 / u64::MAX as f64
}
