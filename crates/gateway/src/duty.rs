//! The duties that one host at a time acts on: usage reports and orders of servers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::{info, warn};
use wasabi_belief::lease::{Record, Step};
use wasabi_core::{
    errors::{self, Result},
    objects::{self, Authority, Written},
    units::Version,
};

use crate::{follow::timely, orders, site::Site, usage};

/// How often the lease and the duties are looked at.
const TICK: Duration = Duration::from_millis(150);
/// How long a call on the lease may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// A new life waits for what its peers know before it bids for the duties.
const SETTLE: Duration = Duration::from_millis(1_500);
/// The kind and the name of the lease's record.
const LEASE_KIND: &str = "leases";
const LEASE_NAME: &str = "duties";

/// Bids for the duties, and acts on them while this host holds them.
pub async fn run(state: Rc<Site>) {
    tokio::time::sleep(SETTLE).await;
    tokio::join!(hold(&state), usage::run(&state), orders::run(&state));
}

/// Returns the authority to act, if this host holds the duties.
pub fn authority(state: &Site) -> Option<Authority> {
    let fence = state.lease.borrow().fence(state.now())?;
    Some(Authority { holder: state.settings.borrow().host.clone(), fence })
}

/// Takes in that a call was refused since a higher fencing number was seen.
pub fn fenced(state: &Site) {
    state.lease.borrow_mut().fenced(state.now());
    warn!("duties lost: a higher fencing number was seen");
}

async fn hold(state: &Site) {
    let mut held = None;
    let mut failing = false;
    loop {
        tokio::time::sleep(TICK).await;
        let now = state.now();
        state.lease.borrow_mut().expire(now);
        if state.stopping_since.get().is_some() {
            release(state).await;
            return;
        }
        let peer_holds = state.peers.borrow().live(now).any(|(_, peer)| peer.fence.is_some());
        let step = state.lease.borrow().step(now, peer_holds);
        let waits = step == Step::Wait;
        match act(state, step).await {
            Ok(()) if waits => {}
            Ok(()) => failing = false,
            Err(e) => {
                metrics::counter!("wasabi_store_failures_total").increment(1);
                let cause = e.to_string();
                if !std::mem::replace(&mut failing, true) {
                    info!(cause = cause.as_str(); "lease calls fail");
                }
            }
        }
        let fence = state.lease.borrow().fence(state.now());
        if fence != held {
            let number = |fence: Option<wasabi_core::units::Epoch>| fence.map_or(0, |f| f.0);
            info!(fence = number(fence), before = number(held); "duties changed hands");
            held = fence;
        }
    }
}

async fn act(state: &Site, step: Step) -> Result<()> {
    let sent = state.now();
    match step {
        Step::Wait => Ok(()),
        Step::Read => {
            let record = timely(state.objects.read(LEASE_KIND, LEASE_NAME), CALL_TIMEOUT).await?;
            let record = record.map(parse).transpose()?;
            state.lease.borrow_mut().read(state.now(), record);
            Ok(())
        }
        Step::Create(record) => {
            let call = state.objects.create(LEASE_KIND, LEASE_NAME, value(&record)?);
            let written = timely(call, CALL_TIMEOUT).await;
            settle(state, sent, record, written)
        }
        Step::Replace(version, record) => {
            let call = state.objects.replace(LEASE_KIND, LEASE_NAME, version, value(&record)?);
            let written = timely(call, CALL_TIMEOUT).await;
            settle(state, sent, record, written)
        }
    }
}

fn settle(state: &Site, sent: Instant, record: Record, written: Result<Written>) -> Result<()> {
    let now = state.now();
    let mut lease = state.lease.borrow_mut();
    match written {
        Ok(Written::Done(version)) => lease.written(now, sent, version, record),
        Ok(Written::Conflict(found)) => {
            lease.refused(now, found.map(parse).transpose()?);
        }
        Err(e) => {
            lease.unanswered(now);
            return Err(e);
        }
    }
    Ok(())
}

/// Gives the duties back, so that another host takes them at once.
async fn release(state: &Site) {
    let Some((version, record)) = state.lease.borrow().release(state.now()) else { return };
    let Ok(value) = value(&record) else { return };
    state.lease.borrow_mut().fenced(state.now());
    let call = state.objects.replace(LEASE_KIND, LEASE_NAME, version, value);
    match timely(call, CALL_TIMEOUT).await {
        Ok(_) => info!(fence = record.fence.0; "duties given back"),
        Err(e) => {
            let cause = e.to_string();
            warn!(cause = cause.as_str(); "duties not given back; they lapse");
        }
    }
}

fn value(record: &Record) -> Result<serde_json::Value> {
    serde_json::to_value(record).map_err(|e| errors::internal(e.to_string()))
}

fn parse(record: objects::Record) -> Result<(Version, Record)> {
    let parsed = serde_json::from_value(record.value)
        .map_err(|e| errors::internal(format!("lease: {e}")))?;
    Ok((record.version, parsed))
}
