//! Usage reports: the counts of a window are first sealed, that is written to the store once and
//! never changed, and then reported.
//!
//! A new holder of the duties reports what is already sealed, so no window is ever reported with
//! two different counts.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use wasabi_belief::{
    peers::Peer,
    seals::{self, Seals, Step},
};
use wasabi_core::{
    errors::{self, Result},
    objects::{Verdict, Written},
    units::{Epoch, Window},
};

use crate::{
    duties::duty,
    share::{peer_fetch, refresh::with_timeout},
    state::State,
};

/// How often the reporter checks for windows that have ended.
const TICK: Duration = Duration::from_millis(300);
/// Wait after the end of a window for the last announcements of its counts from all hosts.
const SETTLE_TIME: Duration = Duration::from_millis(1_800);
/// Timeout of a call to the store or the platform.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a failed attempt to seal or report.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Peers that are asked for their counts at a time, so that their responses do not fill the link.
const MAX_CONCURRENT_PEERS: usize = 16;
/// The object kind of the sealed counts; with [`RECORD_NAME`] it identifies the record.
const RECORD_KIND: &str = "usage";
/// The object name of the sealed counts.
const RECORD_NAME: &str = "sealed";

/// Reports usage while this host holds the duties.
pub async fn run(state: &State) {
    let mut seals = Seals::default();
    loop {
        tokio::time::sleep(TICK).await;
        if let Err(e) = report_settled(state, &mut seals).await {
            let cause = e.to_string();
            warn!(cause = cause.as_str(); "usage not reported yet");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Seals and reports each settled window that has not been reported, oldest first.
async fn report_settled(state: &State, seals: &mut Seals) -> Result<()> {
    loop {
        // Also takes in the era of the last answer: what comes next rests on it.
        let Some(fence) = duty::fence(state) else {
            seals.lose_duties();
            return Ok(());
        };
        match next(state, seals, fence) {
            Step::Wait => return Ok(()),
            Step::Read => read(state, seals, fence).await?,
            Step::Seal(window) => {
                fetch_missing_counts(state, window).await;
                let is_still_next = duty::fence(state) == Some(fence)
                    && next(state, seals, fence) == Step::Seal(window);
                if is_still_next {
                    seal(state, seals, fence, window).await?;
                }
            }
            Step::Report(window) => report(state, seals, window).await?,
            Step::Skip(window) => {
                warn!(window = window.0; "usage not reported: it may have been before a restore");
                seals.on_reported(window);
            }
        }
    }
}

fn next(state: &State, seals: &Seals, fence: Epoch) -> Step {
    seals.next(fence, newest_settled(state), |window| state.era_covers(window, SETTLE_TIME))
}

async fn read(state: &State, seals: &mut Seals, fence: Epoch) -> Result<()> {
    let record = with_timeout(state.objects.read(RECORD_KIND, RECORD_NAME), CALL_TIMEOUT).await?;
    let found = match record {
        None => None,
        Some(record) => {
            let sealed = serde_json::from_value(record.value);
            let sealed = sealed.map_err(|e| errors::internal(format!("sealed usage: {e}")))?;
            Some((record.version, sealed))
        }
    };
    seals.on_read(fence, found);
    Ok(())
}

/// Adds the counts of a window to the record; fails if another holder changed the record since it was
/// read.
async fn seal(state: &State, seals: &mut Seals, fence: Epoch, window: Window) -> Result<()> {
    let counts = state.usage_counts.borrow().sum(window);
    let total: u64 = counts.values().sum();
    let (replaced, record): (_, seals::Record) = seals.begin_seal(window, counts);
    let value = serde_json::to_value(&record).map_err(|e| errors::internal(e.to_string()))?;
    let call = match replaced {
        None => state.objects.create(RECORD_KIND, RECORD_NAME, value),
        Some(version) => state.objects.replace(RECORD_KIND, RECORD_NAME, version, value),
    };
    match with_timeout(call, CALL_TIMEOUT).await? {
        Written::Done(version) => {
            info!(window = window.0, requests = total; "usage sealed");
            if duty::fence(state) == Some(fence) {
                seals.on_sealed(fence, version, record);
            }
            Ok(())
        }
        Written::Conflict(_) => Err(errors::conflict(RECORD_NAME)),
    }
}

async fn report(state: &State, seals: &mut Seals, window: Window) -> Result<()> {
    let sealed = || errors::internal(format!("window {window} is not sealed"));
    let counts = seals.counts(window).ok_or_else(sealed)?;
    let call = duty::call(state, CALL_TIMEOUT, async |duties, authority| {
        Ok((duties.report(authority, window, counts).await?, authority.fence))
    });
    let (verdict, fence) = call.await?;
    info!(window = window.0, fence = fence.0, verdict:? = verdict;
        "usage report answered");
    match verdict {
        Verdict::Taken => {
            seals.on_reported(window);
            Ok(())
        }
        Verdict::Refused => {
            duty::give_up_lease(state);
            Err(errors::unavailable("report refused"))
        }
        Verdict::Busy => Err(errors::unavailable("busy")),
    }
}

/// Fetches the counts of the peers that have not announced them since the window ended: full links
/// lose announcements. If this process started later than the window, it also asks other peers for
/// the counts of incarnations that had ended by then.
async fn fetch_missing_counts(state: &State, window: Window) {
    let missing: Vec<SocketAddr> = {
        let (peers, counts) = (state.peers.borrow(), state.usage_counts.borrow());
        let is_missing = |peer: &Peer| {
            peer.incarnation.as_ref().is_none_or(|life| !counts.is_complete(window, life))
        };
        let mut live: Vec<&Peer> = peers.live(state.now()).map(|(_, peer)| peer).collect();
        live.sort_by_key(|peer| !is_missing(peer));
        let incomplete = live.iter().filter(|peer| is_missing(peer)).count();
        let witnesses = if state.ran_since_start_of(window) { 0 } else { MAX_CONCURRENT_PEERS };
        live.iter().take(incomplete.max(witnesses)).map(|peer| peer.address).collect()
    };
    let mut failed = 0;
    for peers in missing.chunks(MAX_CONCURRENT_PEERS) {
        let asked = peers.iter().map(|peer| peer_fetch::fetch_counts(state, *peer));
        failed += join_all(asked).await.iter().filter(|response| response.is_err()).count();
    }
    if !missing.is_empty() {
        info!(window = window.0, asked = missing.len(), failed = failed;
            "missing usage counts requested");
    }
}

/// Returns the newest window that ended at least [`SETTLE_TIME`] ago.
fn newest_settled(state: &State) -> Option<Window> {
    let now_ms = state.now_ms();
    let settled = now_ms.checked_sub(SETTLE_TIME.as_millis() as u64)?;
    Some(Window((settled / state.usage_window_ms()).checked_sub(1)?))
}
