//! The duties that one host of the fleet performs at a time, under a lease in the store: usage
//! reports and orders of backend servers.

use std::time::{Duration, Instant};

use log::{info, warn};
use wasabi_belief::lease::{self, Record, StoreCall};
use wasabi_core::{
    errors::{self, Result},
    objects::{self, Authority, DutyInterface, Written},
    units::{Epoch, Version},
};

use crate::{share::refresh::with_timeout, state::State};

/// How often the state of the lease is checked.
const TICK: Duration = Duration::from_millis(150);
/// How often a host that gives the duties back checks whether their calls are over.
const RELEASE_POLL: Duration = Duration::from_millis(20);
/// Timeout of a read or write of the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The least pause after a read that failed; at most twice as long.
const RETRY_PAUSE: Duration = Duration::from_millis(800);
/// The object kind of the lease; with [`LEASE_NAME`] it identifies the record.
const LEASE_KIND: &str = "leases";
/// The object name of the lease.
const LEASE_NAME: &str = "duties";

/// Returns the fencing number, if this host holds the lease.
pub fn fence(state: &State) -> Option<Epoch> {
    state.check_era();
    state.lease.borrow().fence(state.now())
}

/// Makes a call as the holder of the duties; fails at once if this host does not hold the lease, and
/// after `limit` or when another host may take the lease, whichever is first.
pub async fn call<T>(
    state: &State,
    limit: Duration,
    make: impl AsyncFnOnce(&dyn DutyInterface, &Authority) -> Result<T>,
) -> Result<T> {
    let duties = state.duty_api.as_deref().ok_or_else(|| errors::internal("no duties"))?;
    state.check_era();
    let begun = state.now();
    let permit = state.lease.borrow_mut().begin_call(begun);
    let permit = permit.ok_or_else(|| errors::unavailable("the duties are lost"))?;
    let _guard = CallGuard(state);
    let holder = state.settings.borrow().host.clone();
    let authority = Authority { holder, fence: permit.fence, until: permit.until };
    let limit = limit.min(permit.until.saturating_duration_since(begun));
    with_timeout(Box::pin(make(duties, &authority)), limit).await
}

/// Ends a call under the lease when it is dropped.
struct CallGuard<'a>(&'a State);

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.0.lease.borrow_mut().end_call();
    }
}

/// Gives up the lease after a refused usage report, which is taken to mean that the platform has
/// seen a higher fencing number.
pub fn give_up_lease(state: &State) {
    state.lease.borrow_mut().on_fenced(state.now());
    warn!("duties given up after a refused usage report");
}

/// Acquires and renews the lease until the host stops, then releases it.
pub async fn maintain_lease(state: &State) {
    let mut held = None;
    let mut failing = false;
    let mut unheld_since = state.now();
    let mut retry_at = None;
    loop {
        tokio::time::sleep(TICK).await;
        let now = state.now();
        state.lease.borrow_mut().expire(now);
        if state.stopping_since.get().is_some() {
            release(state).await;
            return;
        }
        state.check_era();
        let peer_holds = state.peers.borrow().live(now).any(|(_, peer)| peer.fence.is_some());
        if peer_holds {
            unheld_since = now;
        }
        let leave_to_others = peer_holds || !is_candidate(state, unheld_since);
        let mut call = state.lease.borrow().next_call(now, leave_to_others);
        if call == StoreCall::Read && retry_at.is_some_and(|at| now < at) {
            call = StoreCall::Wait;
        }
        let idle = call == StoreCall::Wait;
        match run_lease_step(state, call).await {
            Ok(()) if idle => {}
            Ok(()) => failing = false,
            Err(e) => {
                retry_at = Some(state.now() + RETRY_PAUSE.mul_f64(1.0 + rand::random::<f64>()));
                metrics::counter!("wasabi_store_failures_total").increment(1);
                let cause = e.to_string();
                if !std::mem::replace(&mut failing, true) {
                    info!(cause = cause.as_str(); "lease calls fail");
                }
            }
        }
        let fence = state.lease.borrow().fence(state.now());
        if fence != held {
            let number = |fence: Option<Epoch>| fence.map_or(0, |f| f.0);
            // This host has gained or lost the lease; 0 stands for not held.
            info!(fence = number(fence), before = number(held); "duties changed hands");
            held = fence;
        }
    }
}

/// Returns whether this host may try to take the duties, which nobody has been heard to hold since
/// `unheld_since`.
fn is_candidate(state: &State, unheld_since: Instant) -> bool {
    let now = state.now();
    let peers = state.peers.borrow();
    let others = peers.live(now).map(|(host, _)| host);
    let waited = now.saturating_duration_since(unheld_since);
    lease::is_candidate(&state.settings.borrow().host, others, waited)
}

/// Makes the call on the lease that its state machine asks for next.
async fn run_lease_step(state: &State, call: StoreCall) -> Result<()> {
    let sent = state.now();
    match call {
        StoreCall::Wait => Ok(()),
        StoreCall::Read => {
            let record =
                with_timeout(state.objects.read(LEASE_KIND, LEASE_NAME), CALL_TIMEOUT).await?;
            let record = record.map(decode).transpose()?;
            state.lease.borrow_mut().on_read(state.now(), record);
            Ok(())
        }
        StoreCall::Create(record) => {
            let call = state.objects.create(LEASE_KIND, LEASE_NAME, encode(&record)?);
            let written = with_timeout(call, CALL_TIMEOUT).await;
            apply_write(state, sent, record, written)
        }
        StoreCall::Replace(version, record) => {
            let call = state.objects.replace(LEASE_KIND, LEASE_NAME, version, encode(&record)?);
            let written = with_timeout(call, CALL_TIMEOUT).await;
            apply_write(state, sent, record, written)
        }
    }
}

/// Applies the result of a write that was sent at `sent`; the lease counts from then.
fn apply_write(
    state: &State,
    sent: Instant,
    record: Record,
    written: Result<Written>,
) -> Result<()> {
    let now = state.now();
    let mut lease = state.lease.borrow_mut();
    match written {
        Ok(Written::Done(version)) => lease.on_written(now, sent, version, record),
        Ok(Written::Conflict(found)) => {
            lease.on_conflict(now, found.map(decode).transpose()?);
        }
        Err(e) => {
            lease.on_unanswered(now);
            return Err(e);
        }
    }
    Ok(())
}

/// Releases the lease once its calls are over, so that another host can acquire it at once.
async fn release(state: &State) {
    state.lease.borrow_mut().begin_release();
    while state.lease.borrow().has_calls() {
        tokio::time::sleep(RELEASE_POLL).await;
    }
    let Some((version, record)) = state.lease.borrow().release_write(state.now()) else { return };
    let Ok(value) = encode(&record) else { return };
    state.lease.borrow_mut().on_fenced(state.now());
    let call = state.objects.replace(LEASE_KIND, LEASE_NAME, version, value);
    match with_timeout(call, CALL_TIMEOUT).await {
        // Also logged on a conflict with another write: the lease is then no longer ours.
        Ok(_) => info!(fence = record.fence.0; "duties released"),
        Err(e) => {
            let cause = e.to_string();
            warn!(cause = cause.as_str(); "duties not released; the lease will expire");
        }
    }
}

fn encode(record: &Record) -> Result<serde_json::Value> {
    serde_json::to_value(record).map_err(|e| errors::internal(e.to_string()))
}

fn decode(record: objects::Record) -> Result<(Version, Record)> {
    let parsed = serde_json::from_value(record.value)
        .map_err(|e| errors::internal(format!("lease: {e}")))?;
    Ok((record.version, parsed))
}
