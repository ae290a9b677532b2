//! Seals usage windows and reports them.
//!
//! A window is one object that holds the figures, the highest flush number included of each
//! incarnation, and the process that reports the window. The window's figures are written once.
//! Window N+1 continues from the flush numbers in window N, so only a process that has read window
//! N can write window N+1, and the first such write stands: no flush is ever counted in two
//! windows. Only the reporter named in a window sends it; another process may replace the reporter
//! only on evidence that it has ended.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::{self, Code, Result},
    io::{self, Billing, Condition, Object, Report, Store, UsageLine, UsageTotals},
    time::{self, Clock},
    units::{Incarnation, Version, Window, WorkspaceId},
};
use wasabi_lease::failure_detector::{FailureDetector, Process};

use crate::flush::{self, Flush};

/// The prefix of the keys of windows.
pub const PREFIX: &str = "usage/window/";

/// Objects requested per list call.
const PAGE: usize = 50;
/// The most lines that a window object or a part holds; if there are more, all go into parts.
const MAX_PART_LINES: usize = 4_000;
/// Sent windows are kept until they are more than this many behind the newest.
const RETAINED_WINDOWS: u64 = 1_440;
/// How long the mark of an incarnation that no longer flushes is kept.
const MARK_RETENTION: Duration = Duration::from_secs(24 * 3600);

data! {
    /// The high-water mark of one incarnation's flushes.
    pub struct Mark {
        /// The highest flush number that a window includes.
        pub number: u64,
        /// When the mark last advanced, in milliseconds from the Unix epoch.
        pub moved_ms: u64,
    }

    /// A sealed usage window; only `reporter` and `sent` change after it has been written.
    pub struct SealedWindow {
        /// The window's number; numbers are consecutive, from 1.
        pub window: Window,
        /// The start, in milliseconds from the Unix epoch.
        pub from_ms: u64,
        /// The end, in milliseconds from the Unix epoch.
        pub until_ms: u64,
        /// The figures of each workspace, unless they are in `parts`.
        pub lines: Vec<UsageLine>,
        /// Keys of the objects that hold the figures; empty if `lines` holds them.
        pub parts: Vec<String>,
        /// Of the figures in `lines` or `parts`, those from flushes made before the window began.
        pub late: Vec<UsageLine>,
        /// The high-water mark of each incarnation's flushes.
        pub marks: BTreeMap<Incarnation, Mark>,
        /// A unique value chosen by the process that sealed the window; tells its write from
        /// another's.
        pub seal: String,
        /// The only process that may report the window.
        pub reporter: Process,
        /// Whether the usage interface has accepted the report.
        pub sent: bool,
    }
}

/// The key under which a window is stored; keys sort in the order of the windows.
pub fn key(window: Window) -> String {
    format!("{PREFIX}{:012}", window.0)
}

/// Seals and reports usage windows; used by the process that holds the `usage` lease.
pub struct Reporter {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    billing: Arc<dyn Billing>,
    failure_detector: Arc<dyn FailureDetector>,
    me: Process,
    length: Duration,
    /// Windows up to this one are known to be sent; window 0 does not exist.
    sent_through: Mutex<Window>,
}

impl Reporter {
    /// Creates a reporter that seals windows of at least `length`.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        billing: Arc<dyn Billing>,
        failure_detector: Arc<dyn FailureDetector>,
        me: Process,
        length: Duration,
    ) -> Self {
        Self {
            store,
            clock,
            billing,
            failure_detector,
            me,
            length,
            sent_through: Mutex::new(Window(0)),
        }
    }

    /// Seals the next window if the last one ended at least a window length ago; without a last
    /// one, seals the first window at once.
    pub fn seal(&self) -> Result<()> {
        let last = self.last_sealed()?;
        let now_ms = time::unix_ms(self.clock.wall());
        let from_ms = last.as_ref().map_or(now_ms - self.length_ms(), |last| last.until_ms);
        if now_ms < from_ms + self.length_ms() {
            return Ok(());
        }
        self.seal_until(last, from_ms, now_ms)
    }

    /// Sends every unsent window whose reporter is this process or has ended.
    pub fn send(&self) -> Result<()> {
        for object in self.read_after_sent()? {
            let sealed: SealedWindow = io::parse(&object)?;
            if !sealed.sent && !self.send_one(object.version, sealed)? {
                continue;
            }
        }
        Ok(())
    }

    /// Sends as `send` does; returns whether no unsent window names this process as its reporter
    /// any more.
    pub fn send_and_check_own(&self) -> Result<bool> {
        self.send()?;
        for object in self.read_after_sent()? {
            let sealed: SealedWindow = io::parse(&object)?;
            if !sealed.sent && sealed.reporter == self.me {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn length_ms(&self) -> u64 {
        self.length.as_millis() as u64
    }

    /// Reads the windows after `sent_through`, and advances `sent_through` over the leading sent
    /// ones. The newest window is always among those returned, since the next one is derived from
    /// it.
    fn read_after_sent(&self) -> Result<Vec<Object>> {
        let mut found = Vec::new();
        let mut after = key(*self.sent_through.lock());
        loop {
            let page = self.store.list(PREFIX, &after, PAGE)?;
            let Some(last) = page.last() else { break };
            after = last.key.clone();
            found.extend(page);
        }
        for object in &found {
            let sealed: SealedWindow = io::parse(object)?;
            let newest = found.last().is_some_and(|last| last.key == object.key);
            if !sealed.sent || newest {
                break;
            }
            *self.sent_through.lock() = sealed.window;
        }
        Ok(found)
    }

    fn last_sealed(&self) -> Result<Option<SealedWindow>> {
        self.read_after_sent()?.last().map(io::parse).transpose()
    }

    fn seal_until(&self, last: Option<SealedWindow>, from_ms: u64, until_ms: u64) -> Result<()> {
        let window = last.as_ref().map_or(Window(1), |last| last.window + Window(1));
        let mut marks = last.map_or_else(BTreeMap::new, |last| last.marks);
        let flushes = self.read_flushes()?;
        self.remove_counted(&flushes, &marks)?;
        let mut sums = BTreeMap::new();
        let mut late = BTreeMap::new();
        for (_, flush) in &flushes {
            if !advance(&mut marks, flush, until_ms) {
                continue;
            }
            add_lines(&mut sums, &flush.lines);
            if flush.until_ms < from_ms {
                add_lines(&mut late, &flush.lines);
            }
        }
        let oldest = until_ms.saturating_sub(MARK_RETENTION.as_millis() as u64);
        marks.retain(|_, mark| mark.moved_ms >= oldest);
        let seal = Incarnation::fresh(&"seal".parse()?).to_string();
        let (lines, parts) = self.store_lines(window, &seal, lines(sums))?;
        let reporter = self.me.clone();
        let late = self::lines(late);
        let sealed = SealedWindow {
            window,
            from_ms,
            until_ms,
            lines,
            parts,
            late,
            marks,
            seal,
            reporter,
            sent: false,
        };
        let is_own =
            |found: &Object| io::parse::<SealedWindow>(found).is_ok_and(|s| s.seal == sealed.seal);
        let text = io::render(&sealed);
        match io::put_confirmed(&*self.store, &key(window), &text, Condition::Absent, is_own) {
            Err(e) if e.code == Code::StoreConflict => return Ok(()),
            written => written?,
        };
        self.trim(window)
    }

    fn read_flushes(&self) -> Result<Vec<(Object, Flush)>> {
        let mut flushes = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.store.list(flush::PREFIX, &after, PAGE)?;
            let Some(last) = page.last() else { return Ok(flushes) };
            after = last.key.clone();
            for object in page {
                let flush = io::parse(&object)?;
                flushes.push((object, flush));
            }
        }
    }

    /// Removes flushes that an earlier window includes.
    fn remove_counted(
        &self,
        flushes: &[(Object, Flush)],
        marks: &BTreeMap<Incarnation, Mark>,
    ) -> Result<()> {
        for (object, flush) in flushes {
            let counted = marks.get(&flush.incarnation).map_or(0, |mark| mark.number);
            if flush.number <= counted {
                self.store.delete(&object.key, object.version)?;
            }
        }
        Ok(())
    }

    /// Returns the lines to keep in the window itself and the keys of the parts; one of the two is
    /// empty.
    fn store_lines(
        &self,
        window: Window,
        seal: &str,
        lines: Vec<UsageLine>,
    ) -> Result<(Vec<UsageLine>, Vec<String>)> {
        if lines.len() <= MAX_PART_LINES {
            return Ok((lines, Vec::new()));
        }
        let mut parts = Vec::new();
        for (i, chunk) in lines.chunks(MAX_PART_LINES).enumerate() {
            let key = format!("usage/part/{:012}/{seal}/{i:04}", window.0);
            let text = io::render(&chunk);
            let is_own = |found: &Object| found.value == text;
            io::put_confirmed(&*self.store, &key, &text, Condition::Absent, is_own)?;
            parts.push(key);
        }
        Ok((Vec::new(), parts))
    }

    /// Reports a window; returns whether it is now recorded as sent. First takes the window over if
    /// its reporter has ended.
    fn send_one(&self, version: Version, mut sealed: SealedWindow) -> Result<bool> {
        let mut version = version;
        if sealed.reporter != self.me {
            if !self.failure_detector.has_ended(&sealed.reporter) {
                return Ok(false);
            }
            sealed.reporter = self.me.clone();
            let Some(taken) = self.rewrite(version, &sealed)? else { return Ok(false) };
            version = taken;
        }
        let lines = read_lines(&*self.store, &sealed)?;
        let reporter = self.me.incarnation.clone();
        self.billing.report(&Report { window: sealed.window, reporter, lines })?;
        sealed.sent = true;
        self.rewrite(version, &sealed).map(|written| written.is_some())
    }

    /// Returns the new version, or `None` if another process has written the window in between.
    fn rewrite(&self, version: Version, sealed: &SealedWindow) -> Result<Option<Version>> {
        let text = io::render(sealed);
        let condition = Condition::At(version);
        let is_own = |found: &Object| found.value == text;
        match io::put_confirmed(&*self.store, &key(sealed.window), &text, condition, is_own) {
            Err(e) if e.code == Code::StoreConflict => Ok(None),
            written => written.map(Some),
        }
    }

    /// Removes the oldest windows beyond `RETAINED_WINDOWS`, with their parts: at most one page per
    /// call, and none that follows an unsent window.
    fn trim(&self, newest: Window) -> Result<()> {
        let end = key(Window(newest.0.saturating_sub(RETAINED_WINDOWS)));
        for object in self.store.list(PREFIX, "", PAGE)? {
            let sealed: SealedWindow = io::parse(&object)?;
            if object.key >= end || !sealed.sent {
                break;
            }
            for part in &sealed.parts {
                if let Some(object) = self.store.get(part)? {
                    self.store.delete(part, object.version)?;
                }
            }
            self.store.delete(&object.key, object.version)?;
        }
        Ok(())
    }
}

/// Reads the figures of a sealed window, those in its parts included. A missing part is an error.
pub fn read_lines(store: &dyn Store, sealed: &SealedWindow) -> Result<Vec<UsageLine>> {
    let mut all = sealed.lines.clone();
    for part in &sealed.parts {
        let object = store.get(part)?.ok_or_else(|| errors::internal("a part is missing"))?;
        all.extend(io::parse::<Vec<UsageLine>>(&object)?);
    }
    Ok(all)
}

/// Advances the mark if `flush` is the next of its incarnation; returns whether it is.
fn advance(marks: &mut BTreeMap<Incarnation, Mark>, flush: &Flush, now_ms: u64) -> bool {
    let mark =
        marks.entry(flush.incarnation.clone()).or_insert(Mark { number: 0, moved_ms: now_ms });
    if flush.number != mark.number + 1 {
        return false;
    }
    *mark = Mark { number: flush.number, moved_ms: now_ms };
    true
}

fn add_lines(sums: &mut BTreeMap<WorkspaceId, UsageTotals>, lines: &[UsageLine]) {
    for line in lines {
        sums.entry(line.workspace.clone()).or_default().add(&line.figures);
    }
}

fn lines(sums: BTreeMap<WorkspaceId, UsageTotals>) -> Vec<UsageLine> {
    sums.into_iter().map(|(workspace, figures)| UsageLine { workspace, figures }).collect()
}
