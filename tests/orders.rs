//! Elastic pools: servers are ordered by one lease holder at a time, and draining them cuts no
//! request.

mod common;

use std::{collections::BTreeMap, sync::Arc};

use common::{programs, secret_of};
use serde_json::{Value, json};
use wasabi_core::{
    io::{Action, Order, Phase, ProvisionedServer},
    note::Server,
    units::ServerId,
};
use wasabi_standin::{
    caller::Call,
    engine::{Engine, Profile},
    platform::Platform,
    process::wait_until,
    proxy::{Mode, Proxy},
    rig::{Rig, Size},
};

/// The number of renewals that together take longer than a lease's length and margin.
const LEASE_LIFETIME_RENEWALS: u64 = 16;

/// The engines that the platform has started on orders.
#[derive(Clone, Default)]
struct Fleet {
    engines: Arc<std::sync::Mutex<Vec<Engine>>>,
}

impl Fleet {
    /// Makes `platform` start an engine for each order.
    fn install(platform: &Platform) -> Self {
        let fleet = Self::default();
        let engines = fleet.engines.clone();
        *platform.state().factory.lock() = Some(Box::new(move |order: &Order| {
            let Action::Start { domain, reclaimable } = &order.action else {
                unreachable!("the platform calls the factory for starts only")
            };
            let mut engines = engines.lock().expect("no panic");
            let name = format!("rented-{}", engines.len());
            let engine = Engine::start(&name, Profile::default()).expect("an engine starts");
            let server = engine.server(domain, *reclaimable);
            engines.push(engine);
            let (pool, intent) = (order.pool.clone(), Some(order.intent.clone()));
            ProvisionedServer { server, pool, phase: Phase::Live, intent }
        }));
        fleet
    }

    fn running_requests(&self, server: &ServerId) -> u32 {
        let engines = self.engines.lock().expect("no panic");
        engines.iter().filter(|engine| engine.name == *server).map(Engine::running).sum()
    }

    /// Returns the number of requests that the first ordered server has received.
    fn first_server_requests(&self) -> usize {
        let engines = self.engines.lock().expect("no panic");
        engines.first().map_or(0, |engine| engine.records().len())
    }
}

/// Returns a note that makes the pool `costing` elastic, with `min` to `max` servers.
fn elastic_note(rig: &Rig, id: &str, base: u64, min: u32, max: u32) -> Value {
    let domain = "tn-north-a".parse().expect("a name");
    let servers: Vec<Server> =
        rig.engines.iter().map(|engine| engine.server(&domain, false)).collect();
    let elastic = json!({"min": min, "max": max, "cheap": true,
                         "domains": ["tn-north-a", "tn-north-b"]});
    let pool = json!({"name": "costing", "model": "costing", "servers": servers,
                      "elastic": elastic});
    json!({"id": id, "base": base, "changed": {"pools": [pool]}})
}

fn orders(rig: &Rig) -> Vec<Order> {
    rig.platform.state().orders.lock().iter().map(|taken| taken.item.clone()).collect()
}

/// Checks the accepted orders: epochs never go back, each has one holder, and no order came twice.
fn check_orders(orders: &[Order]) {
    let mut holders = BTreeMap::new();
    let mut last = 0;
    let mut intents = std::collections::BTreeSet::new();
    for order in orders {
        assert!(order.epoch.0 >= last, "an order of epoch {} came after {last}", order.epoch);
        last = order.epoch.0;
        let holder = holders.entry(order.epoch).or_insert_with(|| order.holder.clone());
        assert_eq!(*holder, order.holder, "epoch {} has two holders", order.epoch);
        assert!(intents.insert(order.intent.clone()), "order {} came twice", order.intent);
    }
}

fn count_starts(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order.action, Action::Start { .. })).count()
}

/// Returns the incarnation that holds the lease of orders, or an empty string.
fn orders_holder(rig: &Rig) -> String {
    let object = rig.platform.state().objects.get("lease/orders");
    let record: Value =
        object.map_or(Value::Null, |o| serde_json::from_str(&o.value).unwrap_or_default());
    record["holder"]["incarnation"].as_str().unwrap_or_default().to_string()
}

/// Returns the incarnation that holds the lease of usage, and its renewal number.
fn usage_lease(rig: &Rig) -> (String, u64) {
    let object = rig.platform.state().objects.get("lease/usage");
    let record: Value =
        object.map_or(Value::Null, |o| serde_json::from_str(&o.value).unwrap_or_default());
    let holder = record["holder"]["incarnation"].as_str().unwrap_or_default();
    (holder.to_string(), record["renewal"].as_u64().unwrap_or(0))
}

fn holder_index(rig: &Rig) -> anyhow::Result<usize> {
    wait_until("a host holds the role", || !orders_holder(rig).is_empty())?;
    let name = orders_holder(rig);
    let number = name.trim_start_matches("host-").split(':').next().unwrap_or_default();
    Ok(number.parse()?)
}

#[test]
fn ordered_servers_serve_and_are_stopped_without_cutting_requests() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 0, engines: 0, ..Size::default() })?;
    let fleet = Fleet::install(&rig.platform);
    for i in 0..2 {
        let name = format!("host-{i}");
        let mut settings = rig.settings(&name);
        settings["times"]["demand_memory_ms"] = json!(500);
        rig.add_host_with(&name, &settings)?;
    }
    rig.apply(&elastic_note(&rig, "elastic", 1, 3, 6))?;
    wait_until("three are ordered", || count_starts(&orders(&rig)) == 3)?;
    let key = secret_of(&rig.sample.lab);
    let call = |prompt: &str, tokens| Call::chat(key, "costing", prompt, tokens);
    wait_until("an ordered server serves", || {
        call("hello", 3).stream(rig.hosts[0].callers).is_ok_and(|stream| stream.complete)
    })?;
    let streams = (0..6)
        .map(|i| call(&format!("s{i}"), 300).send(rig.hosts[i % 2].callers))
        .collect::<Result<Vec<_>, _>>()?;
    wait_until("all run", || {
        let engines = fleet.engines.lock().expect("no panic");
        engines.iter().map(Engine::running).sum::<u32>() == 6
    })?;
    rig.apply(&elastic_note(&rig, "less", 2, 1, 6))?;
    let mut busy_at_stop = 0;
    let mut seen = 0;
    wait_until("two are given back", || {
        let orders = orders(&rig);
        for order in &orders[seen..] {
            if let Action::Stop { server } = &order.action {
                busy_at_stop += fleet.running_requests(server);
            }
        }
        seen = orders.len();
        orders.len() - count_starts(&orders) == 2
    })?;
    assert_eq!(busy_at_stop, 0, "a server was given back while requests ran on it");
    for stream in streams {
        assert!(stream.stream()?.complete);
    }
    check_orders(&orders(&rig));
    Ok(())
}

/// The holder is paused for longer than its lease. No other host may order meanwhile, since a
/// paused process may go on.
#[test]
fn a_paused_holder_is_never_joined_by_a_second_one() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 3, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.apply(&elastic_note(&rig, "one", 1, 1, 8))?;
    wait_until("one is ordered", || count_starts(&orders(&rig)) == 1)?;
    let first = holder_index(&rig)?;
    rig.hosts[first].pause();
    rig.apply(&elastic_note(&rig, "four", 2, 4, 8))?;
    let others: Vec<usize> = (0..3).filter(|i| *i != first).collect();
    for i in &others {
        rig.wait_revision(&rig.hosts[*i], 3)?;
    }
    wait_until("another host holds the lease of usage, which needs no evidence", || {
        !usage_lease(&rig).0.contains(&format!("host-{first}:"))
    })?;
    // After this wait, another host would hold the lease of orders if that needed no evidence of
    // its holder's end.
    let renewed = usage_lease(&rig).1 + LEASE_LIFETIME_RENEWALS;
    wait_until("that lease is renewed for a while", || usage_lease(&rig).1 >= renewed)?;
    assert_eq!(count_starts(&orders(&rig)), 1, "a server was ordered without evidence");
    rig.hosts[first].resume();
    wait_until("four are ordered", || count_starts(&orders(&rig)) == 4)?;
    let orders = orders(&rig);
    assert!(orders.iter().all(|order| order.holder.host() == format!("host-{first}")));
    check_orders(&orders);
    Ok(())
}

#[test]
fn a_killed_holder_is_replaced_on_evidence_of_its_end() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 3, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.apply(&elastic_note(&rig, "one", 1, 1, 8))?;
    wait_until("one is ordered", || count_starts(&orders(&rig)) == 1)?;
    let first = holder_index(&rig)?;
    let name = format!("host-{first}");
    rig.hosts[first].kill();
    rig.apply(&elastic_note(&rig, "three", 2, 3, 8))?;
    rig.unregister_host(&name);
    rig.hosts.remove(first);
    wait_until("another orders", || count_starts(&orders(&rig)) == 3)?;
    let orders = orders(&rig);
    assert!(orders[1..].iter().all(|order| order.holder.host() != name));
    check_orders(&orders);
    Ok(())
}

/// A restarted host answers with a new incarnation, which is evidence that the former one is gone.
#[test]
fn a_restarted_holder_is_replaced() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 1, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.apply(&elastic_note(&rig, "one", 1, 1, 8))?;
    wait_until("one is ordered", || count_starts(&orders(&rig)) == 1)?;
    let mut settings = rig.settings("host-0");
    settings["peers"] = json!(rig.hosts[0].peers);
    rig.hosts[0].kill();
    rig.hosts.clear();
    rig.add_host_with("host-0", &settings)?;
    rig.add_host("host-1")?;
    rig.apply(&elastic_note(&rig, "two", 2, 2, 8))?;
    wait_until("the next is ordered", || count_starts(&orders(&rig)) == 2)?;
    check_orders(&orders(&rig));
    Ok(())
}

#[test]
fn an_order_whose_answer_is_lost_is_given_once() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    for round in 0..3 {
        rig.platform
            .update_faults(|faults| (faults.lose_responses, faults.lose_orders) = (round, 1));
        let wanted = round + 1;
        rig.apply(&elastic_note(&rig, &format!("n{round}"), u64::from(wanted), wanted, 8))?;
        wait_until("it is ordered", || count_starts(&orders(&rig)) >= wanted as usize)?;
        wait_until("the intent is settled", || {
            let intents = rig.platform.state().objects.list("fleet/intent/", "", 100);
            intents.iter().all(|intent| !intent.value.contains("\"open\""))
        })?;
    }
    assert_eq!(count_starts(&orders(&rig)), 3);
    check_orders(&orders(&rig));
    Ok(())
}

/// The platform's list of servers lags, so only the intent shows that the order was accepted.
#[test]
fn an_order_is_given_once_while_the_list_lags() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.platform.update_faults(|faults| (faults.hide_servers, faults.lose_orders) = (true, 1));
    rig.apply(&elastic_note(&rig, "one", 1, 1, 8))?;
    wait_until("the intent is settled", || {
        let intents = rig.platform.state().objects.list("fleet/intent/", "", 100);
        !intents.is_empty() && !intents.iter().any(|intent| intent.value.contains("\"open\""))
    })?;
    let list_calls = || rig.platform.state().calls.lock().get("GET /servers").copied().unwrap_or(0);
    let before = list_calls();
    wait_until("the list was read many times", || list_calls() >= before + 20)?;
    assert_eq!(count_starts(&orders(&rig)), 1);
    rig.platform.update_faults(|faults| faults.hide_servers = false);
    check_orders(&orders(&rig));
    Ok(())
}

/// The proxy holds back an order of the first holder until that host has been killed and the next
/// holder has taken over on evidence and has ordered. A platform that checks epochs refuses the
/// late order; on one that does not, the surplus server is drained.
#[test]
fn a_held_back_order_of_a_dead_holder_is_refused_or_ends_as_surplus() -> anyhow::Result<()> {
    for fencing in [false, true] {
        let rig = rig_with_late_order(fencing)?;
        wait_until("the surplus is given back", || {
            let live = rig.platform.state().servers.lock().len();
            live == 2 && count_starts(&orders(&rig)) >= 2
        })?;
        let late = orders(&rig).iter().filter(|order| order.holder.host() == "host-0").count();
        assert!(late <= 1, "the dead holder sent more than one order");
        if fencing {
            assert_eq!(late, 0);
            check_orders(&orders(&rig));
        }
    }
    Ok(())
}

/// Returns a deployment in which the proxy has just released a dead holder's order.
fn rig_with_late_order(fencing: bool) -> anyhow::Result<Rig> {
    let mut rig = Rig::start(programs(), &Size { hosts: 0, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.platform.update_faults(|faults| faults.fencing = fencing);
    let proxy = Proxy::start(rig.platform.address())?;
    for i in 0..2 {
        let name = format!("host-{i}");
        let mut settings = rig.settings(&name);
        settings["times"]["demand_memory_ms"] = json!(500);
        if i == 0 {
            settings["orders"] = json!(proxy.url());
        }
        rig.add_host_with(&name, &settings)?;
        rig.wait_revision(&rig.hosts[i], 1)?;
        assert_eq!(holder_index(&rig)?, 0);
    }
    proxy.set_mode(Mode::HoldPosts);
    rig.apply(&elastic_note(&rig, "two", 1, 2, 4))?;
    wait_until("an intent stands open", || {
        let intents = rig.platform.state().objects.list("fleet/intent/", "", 100);
        intents.iter().any(|intent| intent.value.contains("\"open\""))
    })?;
    rig.hosts[0].kill();
    rig.unregister_host("host-0");
    rig.hosts.remove(0);
    wait_until("the next holder orders", || count_starts(&orders(&rig)) == 2)?;
    check_orders(&orders(&rig));
    proxy.set_mode(Mode::Pass);
    Ok(rig)
}

#[test]
fn a_holder_that_stops_hands_over_at_once() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.apply(&elastic_note(&rig, "one", 1, 1, 8))?;
    wait_until("one is ordered", || count_starts(&orders(&rig)) == 1)?;
    let first = holder_index(&rig)?;
    rig.hosts[first].terminate();
    assert_eq!(rig.hosts[first].wait()?, Some(0));
    rig.apply(&elastic_note(&rig, "three", 2, 3, 8))?;
    wait_until("the other orders", || count_starts(&orders(&rig)) == 3)?;
    check_orders(&orders(&rig));
    Ok(())
}

#[test]
fn without_reclaimable_servers_on_demand_ones_are_ordered() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 1, ..Size::default() })?;
    let _fleet = Fleet::install(&rig.platform);
    rig.apply(&elastic_note(&rig, "two", 1, 2, 8))?;
    wait_until("two are ordered", || count_starts(&orders(&rig)) == 2)?;
    let is_reclaimable =
        |order: &Order| matches!(order.action, Action::Start { reclaimable: true, .. });
    assert!(orders(&rig).iter().all(is_reclaimable));
    rig.platform.update_faults(|faults| faults.refuse_reclaimable = true);
    rig.apply(&elastic_note(&rig, "four", 2, 4, 8))?;
    wait_until("four are ordered", || count_starts(&orders(&rig)) == 4)?;
    assert!(orders(&rig)[2..].iter().all(|order| !is_reclaimable(order)));
    Ok(())
}

/// A server that the platform lists as leaving gets no new work after a few seconds, even if the
/// store is down at the same time.
#[test]
fn a_leaving_server_gets_no_new_work() -> anyhow::Result<()> {
    for store_down in [false, true] {
        let mut rig = Rig::start(programs(), &Size { hosts: 0, ..Size::default() })?;
        let fleet = Fleet::install(&rig.platform);
        let proxy = Proxy::start(rig.platform.address())?;
        for i in 0..2 {
            let name = format!("host-{i}");
            let mut settings = rig.settings(&name);
            settings["objects"] = json!(proxy.url());
            rig.add_host_with(&name, &settings)?;
        }
        rig.apply(&elastic_note(&rig, "one", 1, 1, 1))?;
        let key = secret_of(&rig.sample.lab);
        let serve = |i: usize| -> anyhow::Result<()> {
            let call = Call::chat(key, "costing", &format!("c{i}"), 2);
            anyhow::ensure!(call.stream(rig.hosts[i % 2].callers)?.complete);
            Ok(())
        };
        let knows_server = |host: &wasabi_standin::process::HostProcess| {
            let dump = host.dump().unwrap_or_default().to_string();
            dump.contains("rented-0")
        };
        wait_until("the ordered server is known", || rig.hosts.iter().any(knows_server))?;
        for i in 0..16 {
            serve(i)?;
        }
        assert!(fleet.first_server_requests() > 0);
        if store_down {
            proxy.set_mode(Mode::Cut);
        }
        rig.platform.state().servers.lock()[0].phase = Phase::Leaving;
        wait_until("no host gives it work", || !rig.hosts.iter().any(knows_server))?;
        let before = fleet.first_server_requests();
        for i in 0..16 {
            serve(i)?;
        }
        assert_eq!(fleet.first_server_requests(), before);
    }
    Ok(())
}
