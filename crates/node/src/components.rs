//! Builds the components of a host from its settings and connects them.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::runtime::Handle;
use wasabi_config::current::CurrentState;
use wasabi_core::{
    errors::Result,
    io::{Billing, Provider, Roster, Store},
    time::{Clock, System},
    units::{Incarnation, Role},
};
use wasabi_entry::{
    context::{self, Context, Options},
    dispatch::{Dispatch, LocalDispatch},
    in_flight::{CountingDispatch, InFlightCounts},
    running::Registry as RunningRequests,
};
use wasabi_fleet::{plan, provisioner::Provisioner, view::View};
use wasabi_home::{
    self as home, dispatcher::Dispatcher, grant_client::GrantClient, live::LiveHosts,
};
use wasabi_lease::{
    failure_detector::{FailureDetector, Process},
    holder::{self, Lease},
};
use wasabi_once::claims::Claims;
use wasabi_peer::{client::PeerClients, gossip::Gossip};
use wasabi_policy::{moving_average, retry_budget::Budget, scheduler::Scheduler};
use wasabi_remote::{billing, http::Endpoint, provider, roster, store};
use wasabi_usage::{counter::Counter, flush::Flusher, window::Reporter};

use crate::{
    candidates::LeaseChecks,
    failure_detector::HostFailureDetector,
    host_list::HostList,
    settings::{Settings, Times},
    status,
    store_contact::StoreContact,
};

/// Expected answer length before any was observed.
const DEFAULT_ANSWER_TOKENS: f64 = 200.0;
/// Expected time to the first token before any was observed.
const DEFAULT_FIRST_TOKEN_SECONDS: f64 = 0.2;
/// Expected time to a complete answer before any was observed.
const DEFAULT_ANSWER_SECONDS: f64 = 1.0;

/// The components of one host, shared by its tasks.
pub struct Components {
    /// The settings that the host was started with.
    pub settings: Settings,
    /// The identity and peer address of this process.
    pub process: Process,
    /// Clock for all time measurements.
    pub clock: Arc<dyn Clock>,
    /// The object store, reached through the platform's object API.
    pub store: Arc<dyn Store>,
    /// The configuration in force.
    pub config: Arc<CurrentState>,
    /// Schedules the cells that this host owns, for itself and for other hosts.
    pub dispatcher: Arc<Dispatcher>,
    /// Grants for cells that other hosts own.
    pub remote_grants: Arc<home::remote_grants::RemoteGrants>,
    /// The hosts that are considered live.
    pub live_hosts: Arc<LiveHosts>,
    /// The scheduler of this host.
    pub local_dispatch: Arc<LocalDispatch>,
    /// State shared by all requests.
    pub context: Arc<Context>,
    /// The platform's list of hosts.
    pub host_list: Arc<HostList>,
    /// Gossips the configuration between hosts.
    pub gossip: Arc<Gossip>,
    /// Writes counted usage to the store.
    pub flusher: Arc<Flusher>,
    /// Seals usage windows and sends them to the usage interface.
    pub reporter: Arc<Reporter>,
    /// Lease for sealing usage windows.
    pub usage_lease: Arc<Lease>,
    /// Lease for ordering servers.
    pub order_lease: Arc<Lease>,
    /// Orders servers from the platform, and releases them, as the demand requires.
    pub provisioner: Arc<Provisioner>,
    /// The platform's interface for ordering servers.
    pub provider: Arc<dyn Provider>,
    /// The servers that were ordered from the platform, as last listed by the store or the
    /// platform.
    pub server_view: Arc<View>,
    /// Number of this host's running requests by server.
    pub in_flight: Arc<InFlightCounts>,
    /// Lease for writing snapshots and server listings, and for removing old records.
    pub upkeep_lease: Arc<Lease>,
    /// Time of the last contact with the store.
    pub store_contact: StoreContact,
    /// Decides when this host looks at the lease of a role.
    pub lease_checks: LeaseChecks,
    /// Writes the host's status.
    pub status: Arc<status::Writer>,
}

impl Components {
    /// Builds the components; `process` is this process, and `runtime` runs the calls to peers.
    pub fn new(
        settings: Settings,
        process: Process,
        config: Arc<CurrentState>,
        runtime: Handle,
    ) -> Self {
        let clock: Arc<dyn Clock> = Arc::new(System);
        let times = settings.times.clone();
        let endpoint = |url: &str| Endpoint::new(url, times.platform_call);
        let store: Arc<dyn Store> = Arc::new(store::Client::new(endpoint(&settings.objects)));
        let billing: Arc<dyn Billing> = Arc::new(billing::Client::new(endpoint(&settings.usage)));
        let source: Arc<dyn Roster> = Arc::new(roster::Client::new(endpoint(&settings.hosts)));
        let host_list = Arc::new(HostList::new(source, clock.clone()));
        let peer_clients = Arc::new(PeerClients::new(times.peer_call));
        let failure_detector: Arc<dyn FailureDetector> = Arc::new(HostFailureDetector {
            runtime: runtime.clone(),
            peer_clients: peer_clients.clone(),
            host_list: host_list.clone(),
            own_incarnation: process.incarnation.clone(),
            min_absence: times.host_settle,
        });
        let incarnation = process.incarnation.clone();
        let provider: Arc<dyn Provider> =
            Arc::new(provider::Client::new(endpoint(&settings.orders)));
        let lease = |role: &str, takeover_needs_evidence: bool| {
            let role: Role = role.parse().expect("the role is a name");
            let options = holder::Options {
                length: times.lease,
                margin: times.lease_margin,
                takeover_needs_evidence,
            };
            let (store, clock) = (store.clone(), clock.clone());
            Arc::new(Lease::new(
                store,
                clock,
                failure_detector.clone(),
                role,
                process.clone(),
                options,
            ))
        };
        let counter = Arc::new(Counter::default());
        let local_dispatch =
            Arc::new(LocalDispatch::new(clock.clone(), Scheduler::new(settings.policy.options())));
        let claims =
            Claims::new(store.clone(), clock.clone(), failure_detector.clone(), process.clone());
        let in_flight = Arc::new(InFlightCounts::default());
        let server_view = Arc::new(View::default());
        let live_hosts = Arc::new(LiveHosts::new(clock.clone(), incarnation.clone()));
        let dispatcher = Arc::new(Dispatcher::new(
            clock.clone(),
            config.clone(),
            server_view.clone(),
            live_hosts.clone(),
            local_dispatch.clone(),
            settings.cell_servers,
        ));
        let remote_grants = home::remote_grants::RemoteGrants::new(
            runtime,
            incarnation.clone(),
            peer_clients.clone(),
            local_dispatch.clone(),
        );
        let grant_client = GrantClient::new(
            clock.clone(),
            dispatcher.clone(),
            remote_grants.clone(),
            live_hosts.clone(),
        );
        let dispatch = Arc::new(CountingDispatch::new(Arc::new(grant_client), in_flight.clone()));
        let order_lease = lease("orders", true);
        let provisioner = Provisioner::new(
            store.clone(),
            provider.clone(),
            clock.clone(),
            order_lease.clone(),
            process.clone(),
            2 * times.platform_call,
            plan::Options { peak_window: times.demand_memory, ..plan::Options::default() },
        );
        let context = Arc::new(request_context(
            &times,
            &clock,
            &config,
            dispatch,
            &counter,
            Arc::new(claims),
        ));
        let flusher = Flusher::new(store.clone(), clock.clone(), counter, incarnation.clone());
        let reporter = Reporter::new(
            store.clone(),
            clock.clone(),
            billing,
            failure_detector.clone(),
            process.clone(),
            times.usage_window,
        );
        Self {
            usage_lease: lease("usage", false),
            upkeep_lease: lease("upkeep", false),
            gossip: Arc::new(Gossip::new(
                peer_clients,
                config.clone(),
                incarnation,
                dispatcher.clone(),
            )),
            flusher: Arc::new(flusher),
            reporter: Arc::new(reporter),
            order_lease,
            provisioner: Arc::new(provisioner),
            provider,
            server_view,
            dispatcher,
            remote_grants,
            live_hosts,
            in_flight,
            lease_checks: LeaseChecks::default(),
            store_contact: StoreContact::new(clock.now()),
            status: Arc::new(status::Writer::new(store.clone())),
            settings,
            process,
            clock,
            store,
            config,
            local_dispatch,
            context,
            host_list,
        }
    }

    /// Runs a step of a lease if this host holds it or must check it now.
    pub fn step_lease(&self, lease: &Lease) -> Result<()> {
        let (now, hosts) = (self.clock.now(), self.host_list.hosts());
        let (own_name, interval) = (self.settings.host.as_str(), self.settings.times.lease / 4);
        let due = self.lease_checks.take_due(now, lease.role(), own_name, &hosts, interval);
        if due || lease.epoch().is_some() {
            return lease.step();
        }
        Ok(())
    }

    /// Creates a new incarnation of the host that `settings` name.
    pub fn fresh_incarnation(settings: &Settings) -> Incarnation {
        Incarnation::fresh(&settings.host)
    }
}

fn request_context(
    times: &Times,
    clock: &Arc<dyn Clock>,
    config: &Arc<CurrentState>,
    dispatch: Arc<dyn Dispatch>,
    counter: &Arc<Counter>,
    claims: Arc<Claims>,
) -> Context {
    let options = Options {
        head_timeout: times.receive_head,
        body_timeout: times.receive_body,
        write_timeout: times.write,
        first_part_timeout: times.first_part,
        part_timeout: times.part,
        answer_timeout: times.whole,
        ..Options::default()
    };
    Context {
        budget: Mutex::new(Budget::new(options.retry_share)),
        options,
        config: config.clone(),
        dispatch,
        counter: counter.clone(),
        claims,
        running: Arc::new(RunningRequests::default()),
        host_state: Arc::new(context::HostState::default()),
        clock: clock.clone(),
        answer_lengths: Mutex::new(moving_average::Table::new(DEFAULT_ANSWER_TOKENS)),
        first_token_seconds: Mutex::new(moving_average::Table::new(DEFAULT_FIRST_TOKEN_SECONDS)),
        answer_seconds: Mutex::new(moving_average::Table::new(DEFAULT_ANSWER_SECONDS)),
    }
}
