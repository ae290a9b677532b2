//! Reports of usage: the figures of a window are sealed in the store, then reported.
//!
//! A successor repeats what is sealed, so no window is ever reported with two figures.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use wasabi_belief::counts::Counts;
use wasabi_core::{
    errors::{self, Result},
    objects::{Authority, Verdict, Written},
    units::{Epoch, Version, Window},
};

use crate::{duty, follow::timely, share, site::Site};

/// How often ended windows are looked for.
const TICK: Duration = Duration::from_millis(300);
/// After the end of a window, for the last announcements of all hosts to arrive.
const SETTLE: Duration = Duration::from_millis(1_800);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Between two tries of a report that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Peers that are asked for their counts at a time, so that their answers do not fill the link.
const ASKED_AT_ONCE: usize = 16;
/// Sealed windows that the record keeps; a window is due two windows after its end.
const SEALED_WINDOWS: usize = 8;
/// Windows before the newest that a new holder still reports.
const LATE_WINDOWS: u64 = 3;
/// The kind and the name of the record.
const KIND: &str = "usage";
const NAME: &str = "sealed";

/// The record in the store. Figures never change once they are in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Sealed {
    windows: BTreeMap<Window, Counts>,
}

/// What the holder of the duties knows of the record and has reported.
#[derive(Default)]
struct Book {
    /// Under which authority the record was read.
    fence: Option<Epoch>,
    version: Option<Version>,
    sealed: Sealed,
    /// The newest window that was reported under this authority.
    reported: Option<Window>,
}

/// Reports usage while this host holds the duties.
pub async fn run(state: &Site) {
    if state.duties.is_none() {
        return;
    }
    let mut book = Book::default();
    loop {
        tokio::time::sleep(TICK).await;
        let Some(authority) = duty::authority(state) else {
            book = Book::default();
            continue;
        };
        if let Err(e) = book.advance(state, &authority).await {
            let cause = e.to_string();
            warn!(cause = cause.as_str(); "usage not reported yet");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

impl Book {
    async fn advance(&mut self, state: &Site, authority: &Authority) -> Result<()> {
        if self.fence != Some(authority.fence) {
            self.load(state).await?;
            self.fence = Some(authority.fence);
            self.reported = None;
        }
        let Some(newest) = newest_ended(state) else { return Ok(()) };
        let oldest = Window(newest.0.saturating_sub(LATE_WINDOWS));
        let next = self.reported.map_or(oldest, |window| Window(window.0 + 1)).max(oldest);
        for window in (next.0..=newest.0).map(Window) {
            if !self.sealed.windows.contains_key(&window) {
                collect(state, window).await;
                self.seal(state, window).await?;
            }
            self.report(state, window).await?;
        }
        Ok(())
    }

    async fn load(&mut self, state: &Site) -> Result<()> {
        let record = timely(state.objects.read(KIND, NAME), CALL_TIMEOUT).await?;
        match record {
            None => {
                self.version = None;
                self.sealed = Sealed::default();
            }
            Some(record) => self.take(record)?,
        }
        Ok(())
    }

    fn take(&mut self, record: wasabi_core::objects::Record) -> Result<()> {
        self.version = Some(record.version);
        self.sealed = serde_json::from_value(record.value)
            .map_err(|e| errors::internal(format!("sealed usage: {e}")))?;
        Ok(())
    }

    /// Writes the figures of a window into the record, unless another holder did so before.
    async fn seal(&mut self, state: &Site, window: Window) -> Result<()> {
        let mut sealed = self.sealed.clone();
        let counts = state.usage_counts.borrow().sum(window);
        sealed.windows.insert(window, counts);
        while sealed.windows.len() > SEALED_WINDOWS {
            sealed.windows.pop_first();
        }
        let value = serde_json::to_value(&sealed).map_err(|e| errors::internal(e.to_string()))?;
        let call = match self.version {
            None => state.objects.create(KIND, NAME, value),
            Some(version) => state.objects.replace(KIND, NAME, version, value),
        };
        // Without an answer, what the record holds has to be read again.
        self.fence = None;
        match timely(call, CALL_TIMEOUT).await? {
            Written::Done(version) => {
                self.version = Some(version);
                self.sealed = sealed;
                let total: u64 = self.sealed.windows[&window].values().sum();
                info!(window = window.0, requests = total; "usage sealed");
                self.fence = duty::authority(state).map(|authority| authority.fence);
                Ok(())
            }
            Written::Conflict(_) => Err(errors::conflict(NAME)),
        }
    }

    async fn report(&mut self, state: &Site, window: Window) -> Result<()> {
        let duties = state.duties.as_ref().ok_or_else(|| errors::internal("no duties"))?;
        let authority = duty::authority(state).ok_or_else(|| errors::internal("duties lost"))?;
        let counts = &self.sealed.windows[&window];
        let verdict = timely(duties.report(&authority, window, counts), CALL_TIMEOUT).await?;
        info!(window = window.0, fence = authority.fence.0, verdict:? = verdict; "usage reported");
        match verdict {
            Verdict::Taken => {
                self.reported = Some(window);
                Ok(())
            }
            Verdict::Refused => {
                duty::fenced(state);
                Err(errors::unavailable("report refused"))
            }
            Verdict::Busy => Err(errors::unavailable("busy")),
        }
    }
}

/// Asks the peers whose announcements of their counts for the whole window did not arrive: links that
/// are full lose them.
async fn collect(state: &Site, window: Window) {
    let missing: Vec<SocketAddr> = {
        let (peers, counts) = (state.peers.borrow(), state.usage_counts.borrow());
        let silent = peers.live(state.now()).filter(|(_, peer)| {
            peer.incarnation.as_ref().is_none_or(|life| !counts.is_complete(window, life))
        });
        silent.map(|(_, peer)| peer.address).collect()
    };
    let mut failed = 0;
    for peers in missing.chunks(ASKED_AT_ONCE) {
        let asked = peers.iter().map(|peer| share::pull_counts(state, *peer));
        failed += join_all(asked).await.iter().filter(|answer| answer.is_err()).count();
    }
    if !missing.is_empty() {
        info!(window = window.0, asked = missing.len(), failed = failed; "counts asked for");
    }
}

/// Returns the newest window that has ended long enough ago.
fn newest_ended(state: &Site) -> Option<Window> {
    let length_ms = (state.settings.borrow().bounds.usage_window_s * 1e3) as u64;
    let now_ms = state.time_of_day.borrow().now_ms(state.now());
    let settled = now_ms.checked_sub(SETTLE.as_millis() as u64)?;
    Some(Window((settled / length_ms.max(1)).checked_sub(1)?))
}
