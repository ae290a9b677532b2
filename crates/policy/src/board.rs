//! Where a request goes: the backend servers of one service, what is known to run on them, and
//! whether a request is worth taking.
//!
//! Answers bursts of long prompts beside short interactive streams, seen by several hosts that
//! place at the same time: each host keeps a virtual prefill queue for every engine, adds its own
//! placements at once and those of its peers as they are announced.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::{Duration, Instant},
};

use wasabi_core::{
    call::{Load, Prompt},
    catalog::Engine,
    member::Member,
    units::{Domain, HostId, ServerId},
};

use crate::{
    lanes,
    ledger::{Counts, LEVELS, Quote, Server},
    share::Share,
    stall::{self, Usual},
};

/// The most that a learned speed departs from the sheet, either way.
const MAX_SPEED_FACTOR: f64 = 4.0;
/// Weight of a new observation of speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Share of an observed delay that is put on the virtual queue.
const DELAY_WEIGHT: f64 = 0.5;
/// The most that one observation adds, in milliseconds.
const MAX_DELAY_MS: f64 = 200.0;
/// What a server that fails all requests adds to the expected time, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 2_000.0;
/// Milliseconds added for a server in another failure domain.
const DISTANCE_MS: f64 = 3.0;
/// Milliseconds added for a server that is not the home of the request's session.
const STRANGER_MS: f64 = 40.0;
/// Milliseconds added for a light stream on an engine that is not kept for them, and for a long
/// prompt on one that is: about the target of a first event, so that they mix only in an overload.
const LANE_MS: f64 = 400.0;
/// From this many hosts on, announcements of other failure domains are a second old. A session is
/// then taken to be cached at its home, and hosts prefer the servers of their own domain, of which they
/// hear sooner.
const MANY_HOSTS: usize = 30;
/// Milliseconds added then for a server in another failure domain.
const LATE_NEWS_MS: f64 = 40.0;
/// Weight of one first event in the strain.
const STRAIN_WEIGHT: f64 = 0.12;
/// The strain halves in this time without first events, so that refusing everything ends.
const STRAIN_MEMORY: Duration = Duration::from_millis(1_500);
/// The greatest strain.
const MAX_STRAIN: f64 = 8.0;
/// What peers announced is forgotten after this time without news.
const PEER_MEMORY: Duration = Duration::from_millis(2_500);

/// What a request asks of a server.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The prompt, for requests to engines.
    pub prompt: Option<&'a Prompt>,
    /// The longest wait for the first event or the answer that is worth taking.
    pub patience: Duration,
    /// How urgent engines take it for; 0 is the most urgent.
    pub urgency: u8,
    /// Servers that have failed this request.
    pub avoid: &'a [ServerId],
}

/// A request's place on a server; given back by `Board::end`.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The server.
    pub member: Member,
    /// When it was given.
    pub since: Instant,
    /// The expected time until the first event or the answer.
    pub expected: Duration,
    /// The expected prefill time in milliseconds.
    pub work_ms: f64,
    /// How urgent the engine takes it for.
    pub urgency: u8,
    /// Whether it is a light stream.
    pub light: bool,
    /// Tokens that it holds in the engine's memory.
    pub tokens: u64,
}

/// Why no place was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service is known.
    NoServer,
    /// The least expected time on any server, which is more than the request can bear.
    TooLate(Duration),
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Served,
    /// The server turned it away without running it.
    Rejected,
    /// The server failed it.
    Failed,
    /// The caller left, or the time was up.
    Dropped,
}

/// The servers of one service.
#[derive(Debug)]
pub struct Board {
    domain: Domain,
    /// The shape of the engines; none for plain servers.
    engine: Option<Engine>,
    /// Whether peers' announcements come too late to know what they have engines read.
    late_news: bool,
    /// How many times longer first events took lately than expected, as of the time beside it.
    strain: (f64, Option<Instant>),
    /// How long the answers of plain servers take.
    usual: Usual,
    servers: BTreeMap<ServerId, Server>,
    peers: HashMap<HostId, Announced>,
}

/// What a peer announced last.
#[derive(Debug)]
struct Announced {
    at: Instant,
    /// Its requests on each server; only servers that are known.
    counts: Vec<(ServerId, Counts)>,
}

impl Board {
    /// Gets a board without servers, for a host in `domain`.
    pub fn new(domain: Domain) -> Self {
        Self {
            domain,
            engine: None,
            late_news: false,
            strain: (1.0, None),
            usual: Usual::default(),
            servers: BTreeMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Takes a new list of servers; one that is left out gets no new work.
    pub fn set(&mut self, now: Instant, engine: Option<Engine>, members: &[Member]) {
        self.engine = engine;
        self.servers.retain(|id, server| {
            let same = members.iter().find(|member| member.id == *id);
            same.is_some_and(|member| member.born_ms == server.member.born_ms)
        });
        let mut fresh = BTreeSet::new();
        for member in members {
            match self.servers.get_mut(&member.id) {
                Some(server) => server.member = member.clone(),
                None => {
                    let memory = engine.map_or(0, |engine| engine.memory.0);
                    let server = Server::new(now, member.clone(), memory);
                    self.servers.insert(member.id.clone(), server);
                    fresh.insert(&member.id);
                }
            }
        }
        // A server that comes again begins without the counts of its former life.
        let servers = &self.servers;
        for announced in self.peers.values_mut() {
            announced.counts.retain(|(id, _)| servers.contains_key(id) && !fresh.contains(id));
        }
    }

    /// Takes in how many hosts place requests; with many, their announcements are rare.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.late_news = hosts >= MANY_HOSTS;
    }

    /// Returns the servers that may get new work.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.servers.values().filter(|server| server.is_ready()).map(|server| &server.member)
    }

    /// Gives the request a place on the server that is expected to serve it soonest.
    pub fn place(&mut self, now: Instant, ask: &Ask) -> Result<Place, Refusal> {
        self.forget_peers(now);
        let mut best: Option<(f64, Quote, &ServerId)> = None;
        let mut least_ms = f64::INFINITY;
        let spare = self.ready().any(|member| !ask.avoid.contains(&member.id));
        let home = self.home(ask);
        let kept = match self.engine {
            Some(engine) => self.kept(engine.slots),
            None => BTreeSet::new(),
        };
        let assumed = self.late_news;
        let strain = if self.late_news { self.strain(now) } else { 1.0 };
        let distance_ms = if self.late_news { LATE_NEWS_MS } else { DISTANCE_MS };
        for (id, server) in &self.servers {
            let avoided = ask.avoid.contains(id);
            if !server.is_ready() || (avoided && spare) {
                continue;
            }
            let quote = match self.engine {
                Some(engine) => {
                    server.quote_engine(now, ask, &engine, assumed && home.as_ref() == Some(id))
                }
                None => server.quote_plain(),
            };
            let failing_ms = server.trouble.weight(now) * FAILURE_PENALTY_MS;
            least_ms = least_ms.min(quote.first_ms * strain + failing_ms);
            let far = if server.member.domain == self.domain { 0.0 } else { distance_ms };
            let strange =
                if home.as_ref().is_none_or(|home| home == id) { 0.0 } else { STRANGER_MS };
            let lane = if quote.light != kept.contains(id) { LANE_MS } else { 0.0 };
            let cost = quote.first_ms + quote.extra_ms + failing_ms + far + strange + lane;
            let fits =
                quote.has_room && quote.first_ms * strain <= ask.patience.as_secs_f64() * 1e3;
            if fits && best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, quote, id));
            }
        }
        let Some((quote, id)) = best.map(|(_, quote, id)| (quote, id.clone())) else {
            return Err(match least_ms.is_finite() {
                true => Refusal::TooLate(Duration::from_secs_f64(least_ms / 1e3)),
                false => Refusal::NoServer,
            });
        };
        let server = self.servers.get_mut(&id).expect("the server was just found");
        Ok(server.take(now, ask, quote))
    }

    /// Returns the places that are taken and all places of the servers that take new work.
    pub fn fill(&self) -> (u32, u32) {
        let ready = self.servers.values().filter(|server| server.is_ready());
        ready.fold((0, 0), |(taken, all), server| {
            (taken + server.all().running, all + server.member.slots)
        })
    }

    /// Returns how long after it was placed a request counts as stuck that has shown nothing.
    pub fn stuck_after(&self, now: Instant, place: &Place) -> Duration {
        match self.engine {
            Some(_) => stall::first_event(place.expected, self.strain(now)),
            None => self.usual.limit(),
        }
    }

    /// Takes in that a request is stuck at its server.
    pub fn stuck(&mut self, now: Instant, place: &Place) {
        if let Some(server) = self.of(place) {
            server.trouble.fail(now);
        }
    }

    /// Takes in that the first event, or the whole answer of a plain server, has come.
    pub fn started(&mut self, now: Instant, place: &Place) {
        let plain = self.engine.is_none();
        let took = now.saturating_duration_since(place.since);
        if plain {
            self.usual.observe(took);
        }
        let took = took.as_secs_f64();
        let factor = (took / place.expected.as_secs_f64().max(1e-3)).clamp(1.0, MAX_STRAIN);
        let strain = self.strain(now);
        self.strain = (strain + STRAIN_WEIGHT * (factor - strain), Some(now));
        let Some(server) = self.of(place) else { return };
        server.trouble.succeed();
        if plain {
            return;
        }
        let observed = now.saturating_duration_since(place.since).as_secs_f64() * 1e3;
        let expected = place.expected.as_secs_f64() * 1e3;
        let late_ms = observed - expected;
        if late_ms > 0.0 {
            server.delay(now, place.urgency, (late_ms * DELAY_WEIGHT).min(MAX_DELAY_MS));
        }
        let ratio = (observed / expected.max(1.0)).clamp(0.5, 2.0);
        server.slowness = (server.slowness * (1.0 + SPEED_WEIGHT * (ratio - 1.0)))
            .clamp(1.0 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR);
    }

    /// Gives a place back.
    pub fn end(&mut self, now: Instant, place: &Place, end: End) {
        let Some(server) = self.of(place) else { return };
        server.own.running = server.own.running.saturating_sub(1);
        server.own.light = server.own.light.saturating_sub(u32::from(place.light));
        server.own.tokens = server.own.tokens.saturating_sub(place.tokens);
        match end {
            End::Served => server.trouble.succeed(),
            End::Rejected => server.trouble.reject(now),
            End::Failed => server.trouble.fail(now),
            End::Dropped => {}
        }
    }

    /// Takes in the load that a server reports with an answer.
    pub fn report(&mut self, now: Instant, place: &Place, load: Load) {
        let Some(server) = self.of(place) else { return };
        // Requests that wait mean that the virtual queue was too short.
        let known = server.wait_ms(now, LEVELS - 1);
        if load.waiting > 0 && known < place.work_ms {
            server.delay(now, place.urgency, place.work_ms - known);
        }
    }

    /// Returns what this host announces to its peers, and begins a new announcement.
    pub fn announce(&mut self) -> Vec<(ServerId, Share)> {
        let mut shares = Vec::new();
        for (id, server) in &mut self.servers {
            if server.own != Share::default() {
                shares.push((id.clone(), server.own.clone()));
            }
            server.own.added_ms.clear();
            server.own.parts.clear();
        }
        shares
    }

    /// Takes in a peer's whole announcement; servers that it leaves out run nothing for it.
    pub fn merge(&mut self, now: Instant, peer: &HostId, shares: &[(ServerId, Share)]) {
        self.forget(peer);
        let mut counts = Vec::with_capacity(shares.len());
        for (id, share) in shares {
            let Some(server) = self.servers.get_mut(id) else { continue };
            let count = Counts { running: share.running, light: share.light, tokens: share.tokens };
            server.theirs.add(count);
            counts.push((id.clone(), count));
            for (urgency, ms) in &share.added_ms {
                server.add_work(now, *urgency, *ms);
            }
            for (part, tokens) in &share.parts {
                server.cache.touch(now, *part, *tokens);
            }
        }
        self.peers.insert(peer.clone(), Announced { at: now, counts });
    }

    /// Returns each server with its running requests and expected prefill queue, for the dump.
    pub fn view(&self, now: Instant) -> Vec<(ServerId, u32, u64, f64, f64)> {
        let row = |(id, server): (&ServerId, &Server)| {
            let all = server.all();
            (
                id.clone(),
                all.running,
                all.tokens,
                server.wait_ms(now, LEVELS - 1),
                server.trouble.weight(now),
            )
        };
        self.servers.iter().map(row).collect()
    }

    /// Returns the mean share of time that the engines spend on prefill.
    pub fn duty(&self, now: Instant) -> f64 {
        let ready = self.servers.values().filter(|server| server.is_ready());
        let (sum, count) = ready.fold((0.0, 0), |(sum, n), s| (sum + s.duty(now), n + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    /// Returns how many times longer than expected first events take, which fades without news.
    fn strain(&self, now: Instant) -> f64 {
        let (strain, at) = self.strain;
        let age = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        1.0 + (strain - 1.0) * 0.5_f64.powf(age.as_secs_f64() / STRAIN_MEMORY.as_secs_f64())
    }

    /// Returns the server that a session belongs to: the same one on every host that knows the
    /// same servers, so that its prefix is read in few places however late hosts hear of others'.
    fn home(&self, ask: &Ask) -> Option<ServerId> {
        let [.., session, _] = ask.prompt?.parts.as_slice() else { return None };
        let rank = |id: &ServerId| {
            let mut hasher = DefaultHasher::new();
            (session.id, id).hash(&mut hasher);
            hasher.finish()
        };
        self.ready().map(|member| &member.id).max_by_key(|id| rank(id)).cloned()
    }

    /// Drops what silent peers announced.
    fn forget_peers(&mut self, now: Instant) {
        let silent = |(_, announced): &(&HostId, &Announced)| {
            now.saturating_duration_since(announced.at) >= PEER_MEMORY
        };
        let silent: Vec<HostId> =
            self.peers.iter().filter(silent).map(|(peer, _)| peer.clone()).collect();
        silent.iter().for_each(|peer| self.forget(peer));
    }

    fn forget(&mut self, peer: &HostId) {
        let Some(announced) = self.peers.remove(peer) else { return };
        for (id, count) in announced.counts {
            if let Some(server) = self.servers.get_mut(&id) {
                server.theirs.remove(count);
            }
        }
    }

    /// Returns the engines that are kept for light streams.
    fn kept(&self, slots: u32) -> BTreeSet<&ServerId> {
        let ready = self.servers.iter().filter(|(_, server)| server.is_ready());
        let engines = ready.map(|(id, server)| lanes::Engine {
            id,
            domain: &server.member.domain,
            order: server.order,
            light: server.all().light,
        });
        lanes::kept(engines, slots)
    }

    fn of(&mut self, place: &Place) -> Option<&mut Server> {
        let server = self.servers.get_mut(&place.member.id)?;
        (server.member.born_ms == place.member.born_ms).then_some(server)
    }
}
