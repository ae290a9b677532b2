//! The state that all tasks of a gateway share.
//!
//! All tasks run on one thread, so `RefCell`s suffice; a borrow must not be held across an `await`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use tokio::sync::Notify;
use wasabi_belief::{
    announcement::CountReport,
    catalog,
    cluster_clock::ClusterClock,
    counts, era,
    lease::{self, Lease},
    link, members,
    origins::{self, Origin, StreamId},
    peers::Peers,
    version_record,
};
use wasabi_core::{
    catalog::Catalog,
    member::{Listing, Member},
    objects::{DutyInterface, MetadataStore},
    time::Clock,
    units::{Build, Domain, HostId, Incarnation, PoolId, ServerId, Window, WorkspaceId},
};
use wasabi_policy::{
    balancer::Balancer,
    overload, quarantine,
    repeat_budget::{self, Budget},
    stated_limits,
};

use crate::{
    receive::{buffers, request_body, slow_callers},
    send::{connection_pool::Pool, quarantine::SuspectedRuns},
    settings::Settings,
    share::survey::Survey,
};

/// The greatest age of the configuration's proof at which a host is ready for new connections.
const MAX_READY_PROOF_AGE: Duration = Duration::from_millis(4_000);
/// The part of `Bounds::stop_s` that is not spent on draining. After draining, the process
/// waits half of this for the last announcement and ends.
pub const STOP_MARGIN: Duration = Duration::from_millis(400);
/// The most headers of servers that are remembered as malformed; beyond, all are forgotten.
const MAX_MALFORMED_HEADERS: usize = 1_024;
/// Usage windows in an announcement: the current one and those that may not be reported yet.
const ANNOUNCED_WINDOWS: usize = 4;

/// The state of a gateway.
pub struct State {
    /// The settings, replaced when the file changes.
    pub settings: RefCell<Settings>,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// When this run began.
    pub started_at: Instant,
    /// Its monotonic time includes time in which the machine is suspended.
    pub clock: Box<dyn Clock>,
    /// The object store.
    pub objects: Box<dyn MetadataStore>,
    /// The platform's interface for usage reports and server orders, if there is one.
    pub duty_api: Option<Box<dyn DutyInterface>>,
    /// The configuration in force and when it was last proven current.
    pub config: RefCell<catalog::View>,
    /// The known backend servers and when the list was last proven complete.
    pub servers: RefCell<members::View>,
    /// The rate limits that servers have named.
    pub limits: RefCell<stated_limits::View>,
    /// Whether what earlier hosts have stored of versions and streams has been read.
    pub stored_origins_read: Cell<bool>,
    /// The record of versions when this host first read it, before it added any: all streams of hosts that had
    /// ended by then began at one of these. `None` until it is read, and if it may have lost some.
    pub inherited_versions: RefCell<Option<version_record::Record>>,
    /// The record of versions, as this host last read or wrote it.
    pub version_record: RefCell<version_record::Record>,
    /// The versions that are listed and not recorded yet.
    pub unrecorded_versions: RefCell<BTreeSet<Origin>>,
    /// Whether all hosts, by their records in the store, keep streams to established versions.
    pub all_keep_to_established: Cell<bool>,
    /// Reads of the servers and the versions in service that requests wait for.
    pub survey: Survey,
    /// Whether the versions that this host knew first are recorded for hosts that start later.
    pub versions_recorded: Cell<bool>,
    /// Whether this host's own link to the servers works.
    pub link: RefCell<link::Link>,
    /// Where streams began.
    pub origins: RefCell<origins::View>,
    /// Requests that crash servers.
    pub quarantine: RefCell<quarantine::View>,
    /// Notified when a server has failed this host.
    pub server_failed: Notify,
    /// Runs that broke off, as long as it is not known whether their servers have crashed.
    pub suspected_runs: SuspectedRuns,
    /// The instance whose statement on its limit was announced last.
    pub last_announced_limit: RefCell<Option<members::Instance>>,
    /// Headers that servers have sent with values that were not understood, which are logged once.
    malformed_headers: RefCell<BTreeSet<(ServerId, String)>>,
    /// Placement state by service.
    pub balancers: RefCell<BTreeMap<PoolId, Balancer>>,
    /// Sharing of capacity among workspaces by service, for streams.
    pub overload: RefCell<BTreeMap<PoolId, overload::Control>>,
    /// This host's part of the repeat budget by service.
    pub repeat_budgets: RefCell<BTreeMap<PoolId, Budget>>,
    /// The other hosts, as announced by themselves and recorded in the store.
    pub peers: RefCell<Peers>,
    /// Whether the records of the other hosts have been read from the store.
    pub host_records_read: Cell<bool>,
    /// The time of day agreed on with the other hosts.
    pub time_of_day: RefCell<ClusterClock>,
    /// Requests whose first event or complete response has arrived, by usage window, host and
    /// workspace.
    pub usage_counts: RefCell<counts::RequestCounts>,
    /// The era of the store, and since when it is in force.
    pub era: RefCell<era::View>,
    /// Notified when the store was restored from an older copy.
    pub store_restored: Notify,
    /// The lease that lets one host at a time report usage and order servers.
    pub lease: RefCell<Lease>,
    /// The memory of the bodies of requests.
    pub body_memory: request_body::Memory,
    /// The memory of responses that are buffered before they are passed on.
    pub response_memory: buffers::Memory,
    /// The connections of callers that do not read.
    pub slow_callers: RefCell<slow_callers::View>,
    /// Connections to backend servers.
    pub connection_pool: Pool,
    /// Notified after each successful read of configuration or servers from the store.
    pub proof_renewed: Notify,
    /// Requests in progress.
    pub running_requests: Cell<usize>,
    /// Open connections of callers.
    pub open_connections: Cell<usize>,
    /// When the process was told to stop by SIGTERM or SIGINT.
    pub stopping_since: Cell<Option<Instant>>,
    /// Notified when the time to stop is over: requests that have no answer then get an error.
    pub stop_over: Notify,
}

impl State {
    /// Creates the state without configuration, servers or peers, and with a new incarnation.
    pub fn new(
        settings: Settings,
        clock: Box<dyn Clock>,
        objects: Box<dyn MetadataStore>,
        duty_api: Option<Box<dyn DutyInterface>>,
    ) -> Self {
        let incarnation = Incarnation::fresh(&settings.host);
        let now = clock.now();
        let host = settings.host.clone();
        let length = Duration::from_millis(settings.bounds.lease_ms);
        let times = lease::Times {
            length,
            margin: length / 4,
            renew_interval: length / 3,
            cooldown: length * 2,
        };
        Self {
            incarnation: incarnation.clone(),
            started_at: now,
            config: RefCell::default(),
            servers: RefCell::default(),
            limits: RefCell::default(),
            stored_origins_read: Cell::new(false),
            versions_recorded: Cell::new(false),
            inherited_versions: RefCell::default(),
            version_record: RefCell::default(),
            unrecorded_versions: RefCell::default(),
            all_keep_to_established: Cell::new(false),
            survey: Survey::default(),
            link: RefCell::default(),
            origins: RefCell::default(),
            quarantine: RefCell::new(quarantine::View::new(rand::random())),
            server_failed: Notify::new(),
            suspected_runs: SuspectedRuns::default(),
            last_announced_limit: RefCell::default(),
            malformed_headers: RefCell::default(),
            balancers: RefCell::default(),
            overload: RefCell::default(),
            repeat_budgets: RefCell::default(),
            peers: RefCell::new(Peers::new(host.clone())),
            host_records_read: Cell::new(false),
            time_of_day: RefCell::new(ClusterClock::new(now)),
            usage_counts: RefCell::default(),
            era: RefCell::default(),
            store_restored: Notify::new(),
            lease: RefCell::new(Lease::new(host, incarnation, times, now)),
            body_memory: request_body::Memory::new(settings.memory.unwrap_or_default().bodies()),
            response_memory: buffers::Memory::new(settings.memory.unwrap_or_default().responses()),
            slow_callers: RefCell::default(),
            connection_pool: Pool::default(),
            proof_renewed: Notify::new(),
            running_requests: Cell::new(0),
            open_connections: Cell::new(0),
            stopping_since: Cell::new(None),
            stop_over: Notify::new(),
            settings: RefCell::new(settings),
            clock,
            objects,
            duty_api,
        }
    }

    /// Applies changed settings; returns the names of those that need a restart and stay as they were.
    pub fn reload_settings(&self, new: Settings) -> Vec<&'static str> {
        let kept = self.settings.borrow_mut().reload(new);
        let bounds = self.repeat_bounds();
        self.repeat_budgets.borrow_mut().values_mut().for_each(|budget| budget.set_bounds(bounds));
        let domain = self.settings.borrow().domain.clone();
        for balancer in self.balancers.borrow_mut().values_mut() {
            balancer.set_domain(domain.clone());
        }
        kept
    }

    /// Returns the monotonic time of `clock`.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time of day as the fleet agrees on it, in milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.time_of_day.borrow().now_ms(self.now())
    }

    /// Returns the configuration in force and how long ago it was last proven current.
    pub fn config(&self) -> Option<(Arc<Catalog>, Duration)> {
        let view = self.config.borrow();
        Some((view.get()?, view.staleness(self.now())?))
    }

    /// Returns whether a configuration and a server list are known, however old their proofs.
    pub fn has_config_and_servers(&self) -> bool {
        self.config().is_some() && self.servers.borrow().digest_age(self.now()).is_some()
    }

    /// Returns whether a host that starts knows enough to serve: a configuration and a server list, and,
    /// if there are other hosts, a configuration that is not older than that of one of them. The
    /// store may have been restored from an older copy. The versions of the servers must be recorded:
    /// if all hosts end, only that tells where streams may have begun.
    pub fn may_start_serving(&self) -> bool {
        let own = self.config.borrow().revision();
        let peers = self.peers.borrow();
        let mut live = peers.live(self.now()).peekable();
        let confirmed = match live.peek() {
            None => self.host_records_read.get() && peers.all().next().is_none(),
            Some(_) => live.all(|(_, peer)| peer.catalog.map(|(version, _)| version) <= own),
        };
        confirmed && self.has_config_and_servers() && self.versions_recorded.get()
    }

    /// Returns whether the load balancer may send new connections: the configuration is proven
    /// recently, a server list is known, and the host is neither stopping nor cut off from the servers
    /// that its peers reach.
    pub fn is_ready(&self) -> bool {
        let proven = self.config().is_some_and(|(_, age)| age < MAX_READY_PROOF_AGE);
        let listed = self.servers.borrow().digest_age(self.now()).is_some();
        proven && listed && !self.is_cut_off() && self.stopping_since.get().is_none()
    }

    /// Returns whether responses close their callers' connections: the next ones go to another host.
    pub fn sheds_connections(&self) -> bool {
        self.stopping_since.get().is_some() || self.is_cut_off()
    }

    /// Returns whether this host is cut off from all servers while its peers reach them.
    pub fn is_cut_off(&self) -> bool {
        self.link.borrow().is_cut()
    }

    /// Applies a configuration that was current at `proof`, unless a newer one is in force;
    /// `source` is for the log.
    pub fn offer_config(&self, catalog: Catalog, proof: Instant, source: &str) {
        let version = catalog.version.0;
        let (routes, keys) = (catalog.routes.len(), catalog.keys.len());
        if !self.config.borrow_mut().offer(catalog, proof) {
            return;
        }
        let age = self.now().saturating_duration_since(proof);
        info!(version = version, routes = routes, keys = keys, source = source,
            age_ms = age.as_millis() as u64; "configuration in force");
        metrics::gauge!("wasabi_config_version").set(version as f64);
        self.refresh_balancers();
    }

    /// Applies a server list that was complete at `proof`, unless a later one is known; `source` is
    /// for the log.
    pub fn offer_servers(&self, listing: Listing, proof: Instant, source: &str) {
        let now = self.now();
        self.record_builds();
        let evacuated = self.servers.borrow().evacuated().clone();
        if self.servers.borrow_mut().offer(now, listing, proof) {
            let age = now.saturating_duration_since(proof);
            self.log_servers(source, age);
            self.log_evacuations(&evacuated, source, age);
            self.refresh_balancers();
            self.update_unrecorded_versions();
        }
    }

    /// Returns the versions of a service's software at which a stream that goes on may have begun.
    pub fn recent_builds(&self, service: &PoolId) -> BTreeSet<Build> {
        self.record_builds();
        self.origins.borrow().recent_builds(self.now(), service)
    }

    /// Records where a stream of this host began or has gone on.
    pub fn record_origin(&self, stream: StreamId, origin: Origin) {
        let before = self.origins.borrow_mut().record(self.now(), stream, origin.clone());
        log_changed_origin(stream, &origin, before);
    }

    /// Records what a peer, or the store, tells of where a stream began.
    pub fn merge_origin(&self, stream: StreamId, origin: Origin) {
        let before = self.origins.borrow_mut().merge(self.now(), stream, origin.clone());
        log_changed_origin(stream, &origin, before);
    }

    /// Returns the time since the list of servers was last known to be complete, in milliseconds, for logs;
    /// `None` without a list.
    pub fn list_age_ms(&self) -> Option<u64> {
        let age = self.servers.borrow().digest_age(self.now()).map(|(_, age)| age);
        age.map(|age| age.as_millis() as u64)
    }

    /// Records the versions in service. Called before each change of the servers, so that a version
    /// counts until it goes.
    pub fn record_builds(&self) {
        let members = self.servers.borrow().get();
        self.origins.borrow_mut().record_listed(self.now(), &members);
    }

    /// Applies that the instance of a server leaves, as it said itself or as a peer announced;
    /// `source` is for the log.
    pub fn mark_leaving(&self, instance: members::Instance, source: &str) {
        let (server, born_ms) = (instance.0.clone(), instance.1);
        if !self.servers.borrow_mut().mark_leaving(self.now(), instance) {
            return;
        }
        info!(server = server.as_str(), born_ms = born_ms, source = source; "backend server leaves");
        self.refresh_balancers();
    }

    /// Applies that the process of a server has ended and another one answers at its address.
    pub fn mark_ended(&self, instance: members::Instance) {
        if self.servers.borrow_mut().mark_ended(self.now(), instance) {
            self.refresh_balancers();
        }
    }

    /// Logs that a server has sent a header whose value was not understood, once for each.
    pub fn log_malformed_header(&self, server: &ServerId, header: &str) {
        let mut known = self.malformed_headers.borrow_mut();
        if known.len() >= MAX_MALFORMED_HEADERS {
            known.clear();
        }
        if known.insert((server.clone(), header.to_string())) {
            warn!(server = server.as_str(), header = header; "header of a backend server not understood");
        }
    }

    /// Returns whether other hosts know a younger list of servers and this host's is too old to rely on.
    pub fn has_outdated_servers(&self) -> bool {
        let max_age = self.settings.borrow().bounds.max_server_list_age();
        self.servers.borrow().is_outdated(self.now(), max_age)
    }

    /// Removes servers that were kept after an outage of the store and whose grace period is over.
    pub fn expire_servers(&self) {
        self.record_builds();
        if self.servers.borrow_mut().expire(self.now()) {
            self.log_servers("expiry", Duration::ZERO);
            self.refresh_balancers();
        }
    }

    /// Counts a request of `workspace` in the current usage window; does nothing without a
    /// workspace.
    ///
    /// Called once for each request, at the first event of a stream or the first complete plain response.
    pub fn count_usage(&self, workspace: Option<&WorkspaceId>) {
        let Some(workspace) = workspace else { return };
        let window = self.usage_window();
        self.usage_counts.borrow_mut().count(window, &self.incarnation, workspace);
    }

    /// Returns until when a stopping host waits for requests to end; `None` if it is not stopping.
    pub fn drain_end(&self) -> Option<Instant> {
        let limit = Duration::from_secs_f64(self.settings.borrow().bounds.stop_s);
        self.stopping_since.get().map(|since| since + limit.saturating_sub(STOP_MARGIN))
    }

    /// Returns this host's own counts of the current and the previous usage windows.
    pub fn count_report(&self) -> CountReport {
        let windows = self.usage_counts.borrow().of(&self.incarnation, ANNOUNCED_WINDOWS);
        CountReport { present: self.usage_window(), windows }
    }

    /// Returns the counts, as far as this host has heard them, of the incarnations that it does not
    /// hear from any more.
    pub fn count_reports_of_silent(&self) -> Vec<(Incarnation, CountReport)> {
        let (counts, peers) = (self.usage_counts.borrow(), self.peers.borrow());
        let is_live = |from: &Incarnation| {
            peers.live(self.now()).any(|(_, peer)| peer.incarnation.as_ref() == Some(from))
        };
        let silent = counts.reporters().filter(|(from, _)| !is_live(from));
        let report = |(from, present): (&Incarnation, Window)| {
            let windows = counts.of(from, ANNOUNCED_WINDOWS);
            (from.clone(), CountReport { present, windows })
        };
        silent.map(report).collect()
    }

    /// Whether this process ran from the beginning of a usage window on.
    pub fn ran_since_start_of(&self, window: Window) -> bool {
        let now_ms = self.now_ms();
        let uptime = self.now().saturating_duration_since(self.started_at);
        now_ms.saturating_sub(uptime.as_millis() as u64) <= window.0 * self.usage_window_ms()
    }

    /// Merges the counts of another host's incarnation.
    pub fn merge_usage(&self, from: &Incarnation, report: &CountReport) {
        let mut counts = self.usage_counts.borrow_mut();
        counts.set_present(self.usage_window());
        for (window, by_workspace) in &report.windows {
            counts.merge(*window, from, by_workspace);
        }
        counts.mark_reported(from, report.present);
    }

    /// Records the reading `wall_ms` of the clock of `host`, in milliseconds since 1970.
    pub fn record_clock_reading(&self, host: &HostId, wall_ms: u64) {
        let changed = self.time_of_day.borrow_mut().observe_wall_clock(self.now(), host, wall_ms);
        if changed {
            self.log_time_correction("clocks", host);
        }
    }

    /// Records the time of day that `host` goes by, `truth_ms` in milliseconds since 1970;
    /// `held` is how long `host` has not corrected it.
    pub fn record_peer_time(&self, host: &HostId, truth_ms: u64, held: Duration) {
        let changed = self.time_of_day.borrow_mut().observe_peer_time(self.now(), truth_ms, held);
        if changed {
            self.log_time_correction("peer", host);
        }
    }

    fn log_time_correction(&self, evidence: &'static str, host: &HostId) {
        let now = self.now();
        let time_of_day = self.time_of_day.borrow();
        warn!(now_ms = time_of_day.now_ms(now),
            held_ms = time_of_day.held_for(now).as_millis() as u64,
            evidence = evidence, from = host.as_str(); "time of day corrected");
    }

    /// Returns the current usage window by the agreed time of day.
    pub fn usage_window(&self) -> Window {
        Window(self.now_ms() / self.usage_window_ms())
    }

    /// Returns the length of a usage window in milliseconds, at least 1.
    pub fn usage_window_ms(&self) -> u64 {
        ((self.settings.borrow().bounds.usage_window_s * 1e3) as u64).max(1)
    }

    /// Returns the number of live hosts, this one included.
    pub fn live_hosts(&self) -> usize {
        self.peers.borrow().live_host_count(self.now())
    }

    /// Runs `action` on the repeat budget of a service.
    pub fn with_repeat_budget<T>(
        &self,
        service: &PoolId,
        action: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        let mut repeat_budgets = self.repeat_budgets.borrow_mut();
        let budget = repeat_budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(self.now(), self.repeat_bounds()));
        action(budget)
    }

    fn repeat_bounds(&self) -> repeat_budget::Bounds {
        let bounds = self.settings.borrow().bounds;
        repeat_budget::Bounds {
            ratio: bounds.repeat_ratio,
            allowance: bounds.repeat_allowance,
            window: Duration::from_secs_f64(bounds.repeat_window_s),
        }
    }

    /// Updates the servers of every service's balancer, and closes idle connections to servers that
    /// left.
    fn refresh_balancers(&self) {
        let members = self.servers.borrow().get();
        let now = self.now();
        // Also while the configuration is not proven: the servers are not looked at again when it is.
        let Some(catalog) = self.config.borrow().get() else { return };
        let domain = self.settings.borrow().domain.clone();
        let learn_speed = self.settings.borrow().learn_speed;
        let mut balancers = self.balancers.borrow_mut();
        for (name, service) in &catalog.services {
            let Ok(name) = name.parse::<PoolId>() else { continue };
            let servers: Vec<Member> =
                members.iter().filter(|member| member.service == name).cloned().collect();
            let balancer = balancers.entry(name).or_insert_with(|| Balancer::new(domain.clone()));
            balancer.set_learns_speed(learn_speed);
            balancer.set_servers(now, service.engine, &servers);
        }
        let listed = |limited: &members::Instance| {
            members.iter().any(|member| members::instance(member) == *limited)
        };
        self.limits.borrow_mut().retain(now, listed);
        drop(balancers);
        self.share_limits();
        self.connection_pool.retain(&members);
    }

    fn log_servers(&self, source: &str, age: Duration) {
        let members = self.servers.borrow().get();
        let draining =
            members.iter().filter(|m| m.phase == wasabi_core::member::Phase::Draining).count();
        let cold = self.servers.borrow().cold_count();
        info!(servers = members.len(), draining = draining, cold = cold, source = source,
            age_ms = age.as_millis() as u64; "backend servers changed");
    }

    /// Logs which failure domains are evacuated, and which are not any more, compared to `before`.
    fn log_evacuations(&self, before: &BTreeSet<Domain>, source: &str, age: Duration) {
        let servers = self.servers.borrow();
        let changed = servers.evacuated().symmetric_difference(before);
        for domain in changed {
            let active = servers.evacuated().contains(domain);
            info!(domain = domain.as_str(), active = active, source = source,
                age_ms = age.as_millis() as u64; "evacuation changed");
        }
    }
}

/// Logs and counts that a stream was known to have begun elsewhere `before`.
fn log_changed_origin(stream: StreamId, origin: &Origin, before: Option<Origin>) {
    let Some(before) = before else { return };
    metrics::counter!("wasabi_gateway_changed_origins_total").increment(1);
    warn!(stream = format!("{stream:016x}").as_str(), build = origin.build.as_str(),
        before = before.build.as_str(); "another origin of a known stream");
}
