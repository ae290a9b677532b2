//! The store comes back from an older copy, and all hosts lose power at the same time. A key that was taken away
//! more than `revoke_ms` before must not be served.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use review_stand_2::{Host, PROGRAM, Record, has_trouble};
use serde_json::json;
use wasabi_stand::{caller::Request, rig::Rig, store::Fault};

/// How long the store takes for an answer, as the small deployments' sheets have it.
const STORE_ANSWERS: Fault = Fault::Slow(Duration::from_millis(4));
/// `revoke_ms` of the sheets.
const REVOKE: Duration = Duration::from_millis(5_000);

fn main() -> ExitCode {
    match play() {
        Ok(false) => ExitCode::from(0),
        Ok(true) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e:#}");
            ExitCode::from(2)
        }
    }
}

/// Whether the store comes back from an older copy; `TROUBLE=kill` plays the loss of the hosts alone.
fn restores() -> bool {
    has_trouble() && std::env::var("TROUBLE").map_or(true, |value| value != "kill")
}

fn play() -> anyhow::Result<bool> {
    let record = Record::begin()?;
    let rig = Rig::start(PROGRAM)?;
    rig.store.set_fault(STORE_ANSWERS);
    let mut hosts = ["g1", "g2"]
        .iter()
        .map(|name| Host::new(name, "d1", rig.store_address, rig.duties_address))
        .collect::<anyhow::Result<Vec<_>>>()?;
    hosts.iter_mut().try_for_each(Host::start)?;
    hosts.iter().try_for_each(Host::wait_ready)?;
    thread::sleep(Duration::from_secs(2));
    record.line("two hosts are ready");
    let ask = |host: &Host, id: &str, key: &str| {
        let request =
            Request { key: Some(key.to_string()), ..Request::new("POST", "/write/x", id) };
        request.send(host.addresses.callers).map_or(0, |answer| answer.status)
    };
    record.line(format!(
        "key k1 at g1: {}, at g2: {}",
        ask(&hosts[0], "b1", "k1"),
        ask(&hosts[1], "b2", "k1")
    ));
    let copy = rig.store.backup();
    record.line("the store's copy is made");
    thread::sleep(Duration::from_millis(1_000));
    rig.configure(2, |config| config["tenants"][0]["api_keys"] = json!(["k1b"]));
    let acknowledged = Instant::now();
    record.line("the operator has taken key k1 away (version 2 acknowledged)");
    thread::sleep(Duration::from_millis(2_500));
    record.line(format!(
        "key k1 at g1: {}, at g2: {}",
        ask(&hosts[0], "c1", "k1"),
        ask(&hosts[1], "c2", "k1")
    ));
    thread::sleep(Duration::from_millis(4_600).saturating_sub(acknowledged.elapsed()));
    let mut others = Vec::new();
    if has_trouble() {
        rig.store.set_fault(Fault::Busy);
        hosts.iter_mut().for_each(Host::kill);
        record.line("the store is away and all hosts are killed (disruption)");
        thread::sleep(Duration::from_millis(400));
        if restores() {
            others = rig.store.restore(&copy);
        }
        rig.store.set_fault(STORE_ANSWERS);
        record.line(if restores() {
            "the store is back from the copy"
        } else {
            "the store is back as it was"
        });
        hosts.iter_mut().try_for_each(Host::start)?;
        hosts.iter().try_for_each(Host::wait_ready)?;
        record.line("the hosts are ready again");
    }
    let back = Instant::now();
    let mut rewritten = !has_trouble();
    let mut ran = 0;
    let mut n = 0;
    while back.elapsed() < Duration::from_secs(4) {
        if !rewritten && back.elapsed() >= Duration::from_millis(1_200) {
            rig.store.rewrite(std::mem::take(&mut others));
            rewritten = true;
            record.line("the operator and the engines have written again");
        }
        let id = format!("d{n}");
        let sent = Instant::now();
        let status = ask(&hosts[n % 2], &id, "k1");
        let runs = rig.count_runs(&id);
        let late = sent.saturating_duration_since(acknowledged) > REVOKE;
        ran += usize::from(late && runs > 0);
        if runs > 0 || n % 20 == 0 {
            record.line(format!(
                "{id}: sent {} ms after the acknowledgement with k1: {status}, runs {runs}",
                sent.saturating_duration_since(acknowledged).as_millis()
            ));
        }
        n += 1;
        thread::sleep(Duration::from_millis(30));
    }
    let good = (0..4).filter(|n| ask(&hosts[n % 2], &format!("e{n}"), "k1b") == 200).count();
    record.line(format!(
        "{ran} requests with k1 ran later than {} ms; key k1b is served {good} of 4 times",
        REVOKE.as_millis()
    ));
    Ok(ran > 0)
}
