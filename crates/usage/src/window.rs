//! Sealing windows and reporting them.
//!
//! Window N+1 is one write-once object that holds the figures, the highest flush number taken in of
//! each incarnation, and the process that reports it. Only a process that has read window N can
//! write N+1, so no flush is ever counted in two windows. Only the reporter named in a window sends
//! it; another process may put itself in its place only on evidence that the first has ended.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use wasabi_core::{
    data,
    errors::{self, Code, Result},
    io::{self, Billing, Condition, Figures, Line, Object, Report, Store},
    time::{self, Clock},
    units::{Incarnation, Version, Window, WorkspaceId},
};
use wasabi_lease::witness::{Process, Witness};

use crate::flush::{self, Flush};

/// The prefix of the keys of windows.
pub const PREFIX: &str = "usage/window/";

const PAGE: usize = 50;
/// Lines that a window holds itself; more go into parts.
const PART_LINES: usize = 4_000;
/// Sent windows that stay readable.
const KEPT_WINDOWS: u64 = 1_440;
/// How long the mark of an incarnation that flushes no more is kept.
const MARK_LIFE: Duration = Duration::from_secs(24 * 3600);

data! {
    /// How far the flushes of one incarnation were taken in.
    pub struct Mark {
        /// The highest number taken in.
        pub number: u64,
        /// When it was last moved, in milliseconds from the Unix epoch.
        pub moved_ms: u64,
    }

    /// A sealed window; only `reporter` and `sent` ever change.
    pub struct Sealed {
        /// The window's number; windows follow each other without gaps.
        pub window: Window,
        /// The start, in milliseconds from the Unix epoch.
        pub from_ms: u64,
        /// The end, in milliseconds from the Unix epoch.
        pub until_ms: u64,
        /// The figures, unless they are in parts.
        pub lines: Vec<Line>,
        /// Keys of the parts that hold the figures; empty if `lines` does.
        pub parts: Vec<String>,
        /// Figures among those above that were counted before the window began.
        pub late: Vec<Line>,
        /// How far each incarnation's flushes were taken in.
        pub marks: BTreeMap<Incarnation, Mark>,
        /// Drawn by the process that sealed the window.
        pub seal: String,
        /// The only process that may report the window.
        pub reporter: Process,
        /// Whether the usage interface has taken the report.
        pub sent: bool,
    }
}

/// Returns the key of a window.
pub fn key(window: Window) -> String {
    format!("{PREFIX}{:012}", window.0)
}

/// Seals and reports windows while its process has the role.
pub struct Reporter {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    billing: Arc<dyn Billing>,
    witness: Arc<dyn Witness>,
    me: Process,
    length: Duration,
    /// Windows up to this one are known to be sent.
    settled: Mutex<Window>,
}

impl Reporter {
    /// Gets a reporter that seals windows of `length`.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        billing: Arc<dyn Billing>,
        witness: Arc<dyn Witness>,
        me: Process,
        length: Duration,
    ) -> Self {
        Self { store, clock, billing, witness, me, length, settled: Mutex::new(Window(0)) }
    }

    /// Seals the next window if its time has come.
    pub fn seal(&self) -> Result<()> {
        let last = self.last()?;
        let now_ms = time::unix_ms(self.clock.wall());
        let from_ms = last.as_ref().map_or(now_ms - self.length_ms(), |last| last.until_ms);
        if now_ms < from_ms + self.length_ms() {
            return Ok(());
        }
        self.seal_until(last, from_ms, now_ms)
    }

    /// Sends every unsent window that is this process's to send.
    pub fn send(&self) -> Result<()> {
        for object in self.unsettled()? {
            let sealed: Sealed = io::parse(&object)?;
            if !sealed.sent && !self.send_one(object.version, sealed)? {
                continue;
            }
        }
        Ok(())
    }

    /// Sends what is this process's to send; returns whether nothing of it is left.
    pub fn send_own(&self) -> Result<bool> {
        self.send()?;
        for object in self.unsettled()? {
            let sealed: Sealed = io::parse(&object)?;
            if !sealed.sent && sealed.reporter == self.me {
                return Ok(false);
            }
        }
        Ok(true)
    }

    fn length_ms(&self) -> u64 {
        self.length.as_millis() as u64
    }

    /// Gets the windows after the settled ones, and settles those at the front that were sent.
    fn unsettled(&self) -> Result<Vec<Object>> {
        let mut found = Vec::new();
        let mut after = key(*self.settled.lock());
        loop {
            let page = self.store.list(PREFIX, &after, PAGE)?;
            let Some(last) = page.last() else { break };
            after = last.key.clone();
            found.extend(page);
        }
        for object in &found {
            let sealed: Sealed = io::parse(object)?;
            let newest = found.last().is_some_and(|last| last.key == object.key);
            if !sealed.sent || newest {
                break;
            }
            *self.settled.lock() = sealed.window;
        }
        Ok(found)
    }

    fn last(&self) -> Result<Option<Sealed>> {
        self.unsettled()?.last().map(io::parse).transpose()
    }

    fn seal_until(&self, last: Option<Sealed>, from_ms: u64, until_ms: u64) -> Result<()> {
        let window = last.as_ref().map_or(Window(1), |last| last.window + Window(1));
        let mut marks = last.map_or_else(BTreeMap::new, |last| last.marks);
        let flushes = self.flushes()?;
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
        let oldest = until_ms.saturating_sub(MARK_LIFE.as_millis() as u64);
        marks.retain(|_, mark| mark.moved_ms >= oldest);
        let seal = Incarnation::fresh(&"seal".parse()?).to_string();
        let (lines, parts) = self.store_lines(window, &seal, lines(sums))?;
        let reporter = self.me.clone();
        let late = self::lines(late);
        let sealed = Sealed {
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
        let mine = |found: &Object| io::parse::<Sealed>(found).is_ok_and(|s| s.seal == sealed.seal);
        let text = io::render(&sealed);
        match io::put_certain(&*self.store, &key(window), &text, Condition::Absent, mine) {
            Err(e) if e.code == Code::StoreConflict => return Ok(()),
            written => written?,
        };
        self.trim(window)
    }

    fn flushes(&self) -> Result<Vec<(Object, Flush)>> {
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

    /// Removes flushes that an earlier window took in.
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

    fn store_lines(
        &self,
        window: Window,
        seal: &str,
        lines: Vec<Line>,
    ) -> Result<(Vec<Line>, Vec<String>)> {
        if lines.len() <= PART_LINES {
            return Ok((lines, Vec::new()));
        }
        let mut parts = Vec::new();
        for (i, chunk) in lines.chunks(PART_LINES).enumerate() {
            let key = format!("usage/part/{:012}/{seal}/{i:04}", window.0);
            let text = io::render(&chunk);
            let mine = |found: &Object| found.value == text;
            io::put_certain(&*self.store, &key, &text, Condition::Absent, mine)?;
            parts.push(key);
        }
        Ok((Vec::new(), parts))
    }

    /// Returns whether the window is reported now.
    fn send_one(&self, version: Version, mut sealed: Sealed) -> Result<bool> {
        let mut version = version;
        if sealed.reporter != self.me {
            if !self.witness.is_gone(&sealed.reporter) {
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

    /// Returns the new version, or `None` if another process wrote the window first.
    fn rewrite(&self, version: Version, sealed: &Sealed) -> Result<Option<Version>> {
        let text = io::render(sealed);
        let condition = Condition::At(version);
        let mine = |found: &Object| found.value == text;
        match io::put_certain(&*self.store, &key(sealed.window), &text, condition, mine) {
            Err(e) if e.code == Code::StoreConflict => Ok(None),
            written => written.map(Some),
        }
    }

    fn trim(&self, newest: Window) -> Result<()> {
        let end = key(Window(newest.0.saturating_sub(KEPT_WINDOWS)));
        for object in self.store.list(PREFIX, "", PAGE)? {
            let sealed: Sealed = io::parse(&object)?;
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

/// Gets the figures of a sealed window.
pub fn read_lines(store: &dyn Store, sealed: &Sealed) -> Result<Vec<Line>> {
    let mut all = sealed.lines.clone();
    for part in &sealed.parts {
        let object = store.get(part)?.ok_or_else(|| errors::internal("a part is missing"))?;
        all.extend(io::parse::<Vec<Line>>(&object)?);
    }
    Ok(all)
}

/// Returns whether `flush` is the next of its incarnation, and notes it if so.
fn advance(marks: &mut BTreeMap<Incarnation, Mark>, flush: &Flush, now_ms: u64) -> bool {
    let mark =
        marks.entry(flush.incarnation.clone()).or_insert(Mark { number: 0, moved_ms: now_ms });
    if flush.number != mark.number + 1 {
        return false;
    }
    *mark = Mark { number: flush.number, moved_ms: now_ms };
    true
}

fn add_lines(sums: &mut BTreeMap<WorkspaceId, Figures>, lines: &[Line]) {
    for line in lines {
        sums.entry(line.workspace.clone()).or_default().add(&line.figures);
    }
}

fn lines(sums: BTreeMap<WorkspaceId, Figures>) -> Vec<Line> {
    sums.into_iter().map(|(workspace, figures)| Line { workspace, figures }).collect()
}
