//! Planned stops of hosts and servers cut no request and lose no usage count.

mod common;

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    thread,
};

use common::{programs, secret_of};
use serde_json::json;
use wasabi_standin::{
    caller::Call,
    engine,
    process::wait_until,
    rig::{Rig, Size},
};

fn reported_tokens(rig: &Rig) -> u64 {
    let windows: BTreeMap<u64, u64> = rig
        .platform
        .reports()
        .iter()
        .map(|report| {
            let tokens = report.lines.iter().map(|line| line.figures.completion.0).sum();
            (report.window.0, tokens)
        })
        .collect();
    windows.values().sum()
}

#[test]
fn a_stop_waits_for_its_streams_and_flushes_their_usage() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size { hosts: 2, ..Size::default() })?;
    let streams: Vec<_> = (0..3)
        .map(|i| {
            let call = Call::chat(secret_of(&rig.sample.lab), "costing", &format!("s{i}"), 200);
            call.send(rig.hosts[0].callers)
        })
        .collect::<Result<_, _>>()?;
    wait_until("the streams run", || rig.engines[0].running() == 3)?;
    rig.hosts[0].terminate();
    let mut received = 0;
    for (i, stream) in streams.into_iter().enumerate() {
        let stream = stream.stream()?;
        assert!(stream.complete);
        assert_eq!(stream.text, engine::answer(&format!("s{i}"), 200));
        received += stream.tokens;
    }
    assert_eq!(rig.hosts[0].wait()?, Some(0));
    wait_until("all is reported", || reported_tokens(&rig) >= received)?;
    assert_eq!(reported_tokens(&rig), received);
    Ok(())
}

/// Every host is replaced in turn under load. The balancer sends callers only to hosts that are
/// ready, as it does in the users' deployments: a new host joins once it has the configuration, an
/// old one leaves once it is stopping.
#[test]
fn a_rolling_replacement_cuts_no_request() -> anyhow::Result<()> {
    const HOSTS: usize = 4;
    let mut rig = Rig::start(programs(), &Size { hosts: HOSTS, engines: 3, ..Size::default() })?;
    let balancer = load_balancer::Balancer::default();
    balancer.set(rig.hosts.iter().map(|host| host.callers).collect());
    let (stop, received, failed) = (AtomicBool::new(false), AtomicU64::new(0), AtomicUsize::new(0));
    let key = secret_of(&rig.sample.lab).to_string();
    thread::scope(|scope| -> anyhow::Result<()> {
        for caller in 0..6 {
            let (balancer, stop, received, failed, key) =
                (&balancer, &stop, &received, &failed, &key);
            scope.spawn(move || {
                let mut number = caller;
                while !stop.load(Ordering::SeqCst) {
                    number += 6;
                    let prompt = format!("p{number}");
                    let call = Call::chat(key, "costing", &prompt, 10);
                    match call.stream(balancer.pick(number)) {
                        Ok(stream) if stream.complete => {
                            received.fetch_add(stream.tokens, Ordering::SeqCst);
                        }
                        _ => {
                            failed.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                }
            });
        }
        let replaced = replace_all(&mut rig, &balancer, HOSTS);
        stop.store(true, Ordering::SeqCst);
        replaced
    })?;
    assert_eq!(failed.load(Ordering::SeqCst), 0);
    let received = received.load(Ordering::SeqCst);
    assert!(received > 0);
    wait_until("all is reported", || reported_tokens(&rig) >= received)?;
    assert_eq!(reported_tokens(&rig), received);
    Ok(())
}

fn replace_all(
    rig: &mut Rig,
    balancer: &load_balancer::Balancer,
    hosts: usize,
) -> anyhow::Result<()> {
    for i in 0..hosts {
        rig.add_host(&format!("new-{i}"))?;
        let fresh = rig.hosts.last().expect("a host was added");
        rig.wait_revision(fresh, 1)?;
        let mut old = rig.hosts.remove(0);
        old.terminate();
        old.wait_log("stopping")?;
        balancer.set(rig.hosts.iter().map(|host| host.callers).collect());
        assert_eq!(old.wait()?, Some(0));
        rig.unregister_host(&format!("host-{i}"));
    }
    Ok(())
}

/// A load balancer that callers share.
mod load_balancer {
    use std::{net::SocketAddr, sync::RwLock};

    /// The addresses of the hosts that are ready.
    #[derive(Default)]
    pub struct Balancer {
        hosts: RwLock<Vec<SocketAddr>>,
    }

    impl Balancer {
        /// Replaces the set of hosts that are ready.
        pub fn set(&self, hosts: Vec<SocketAddr>) {
            *self.hosts.write().expect("no panic") = hosts;
        }

        /// Picks a host by the number of the request, in turn.
        pub fn pick(&self, number: usize) -> SocketAddr {
            let hosts = self.hosts.read().expect("no panic");
            hosts[number % hosts.len()]
        }
    }
}

#[test]
fn a_second_signal_exits_at_once_and_logs_the_number_of_cut_requests() -> anyhow::Result<()> {
    let mut rig = Rig::start(programs(), &Size::default())?;
    let call = Call::chat(secret_of(&rig.sample.lab), "costing", "long", 100_000);
    let mut pending = call.send(rig.hosts[0].callers)?;
    assert_eq!(pending.wait_first_chunk()?, 200);
    rig.hosts[0].terminate();
    rig.hosts[0].wait_log("stopping")?;
    rig.hosts[0].terminate();
    assert_eq!(rig.hosts[0].wait()?, Some(1));
    let line = rig.hosts[0].wait_log("second signal; running requests are cut")?;
    assert_eq!(line["cut"], json!(1));
    assert!(!pending.read_rest().1);
    Ok(())
}

#[test]
fn a_server_that_is_withdrawn_gets_no_new_work_and_ends_what_it_has() -> anyhow::Result<()> {
    let rig = Rig::start(programs(), &Size { hosts: 2, engines: 2, ..Size::default() })?;
    let calls: Vec<_> = (0..8)
        .map(|i| {
            let call = Call::chat(secret_of(&rig.sample.lab), "costing", &format!("c{i}"), 100);
            call.send(rig.hosts[i % 2].callers)
        })
        .collect::<Result<_, _>>()?;
    wait_until("both engines run", || rig.engines.iter().all(|engine| engine.running() > 0))?;
    let domain = "tn-north-a".parse()?;
    let remaining = rig.engines[0].server(&domain, false);
    let pools = json!([{"name": "costing", "model": "costing", "servers": [remaining]}]);
    rig.apply(&json!({"id": "leave", "base": 1, "changed": {"pools": pools}}))?;
    for host in &rig.hosts {
        rig.wait_revision(host, 2)?;
    }
    let before = rig.engines[1].records().len();
    for i in 0..6 {
        let call = Call::chat(secret_of(&rig.sample.lab), "costing", &format!("n{i}"), 2);
        assert!(call.stream(rig.hosts[i % 2].callers)?.complete);
    }
    assert_eq!(rig.engines[1].records().len(), before);
    for call in calls {
        assert!(call.stream()?.complete, "a running request was cut");
    }
    Ok(())
}
