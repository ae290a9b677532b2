//! The record of the versions that were in service, in case all hosts end at the same moment.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use rand::Rng as _;
use wasabi_belief::{
    origins::{Origin, VERSION_RETENTION},
    version_record::{Comparison, Listed, Record},
};
use wasabi_core::{
    errors::Result,
    member::{Member, Phase},
    units::{Build, Era, PoolId},
};

use crate::{share::stored::Stored, state::State};

/// The object kind of the record; with [`NAME`] it identifies it.
const KIND: &str = "stream-versions";
const NAME: &str = "services";
/// The range of the random delay, for each live host, before a change of the versions is written. Hosts
/// that come later find it done.
const CHANGE_SPREAD_PER_HOST: Duration = Duration::from_millis(10);
/// The record is read again when the copy is older: another writer may have changed it.
const MAX_COPY_AGE: Duration = Duration::from_secs(15);

/// The record of versions, kept current by this host.
pub struct Versions {
    stored: Stored<Record>,
    /// The versions that this host has found or had recorded: what the record must not lack.
    known: Record,
    /// Until when versions may have been in service that neither the record nor this host knows.
    incomplete_until: Option<Instant>,
    comparison: Comparison,
    /// The digest of the list of servers that the record agreed with.
    agreed: Option<u64>,
}

impl Versions {
    /// Reads the record for a host that starts.
    pub async fn read(state: &State) -> Result<Self> {
        let mut stored = Stored::new(KIND, NAME);
        stored.read(state).await?;
        let known: Record = stored.value().cloned().unwrap_or_default();
        apply(state, &known);
        let is_older_copy = known.is_older_copy(state.store_era());
        if is_older_copy {
            state.on_older_copy_found();
        }
        // An older copy may lack versions at which streams have begun.
        state.inherited_versions.replace((!is_older_copy).then(|| known.clone()));
        let incomplete_until = is_older_copy.then(|| state.now() + VERSION_RETENTION);
        Ok(Self {
            stored,
            known,
            incomplete_until,
            comparison: Comparison::default(),
            agreed: None,
        })
    }

    /// Writes the record if it is not what it should be.
    pub async fn update(&mut self, state: &State) -> Result<()> {
        let list = state.servers.borrow().digest_age(state.now());
        let Some((digest, _)) = list else { return Ok(()) };
        let is_current =
            self.stored.is_current(state, MAX_COPY_AGE) && self.unstated_era(state).is_none();
        if is_current && self.agreed == Some(digest) {
            return Ok(());
        }
        self.agreed = None;
        let present = self.present();
        if is_current && self.expected(state, &present).is_none() {
            self.agreed = self.comparison.has_all().then_some(digest);
            return Ok(());
        }
        let spread = CHANGE_SPREAD_PER_HOST * state.live_hosts() as u32;
        tokio::time::sleep(spread.mul_f64(rand::rng().random())).await;
        self.stored.read(state).await?;
        if let Some(next) = self.next(state) {
            self.stored.write(state, next).await?;
        }
        // Not known after a conflict with another write.
        if let Some(value) = self.stored.value() {
            self.known = value.clone();
            state.set_version_record(value.clone());
        }
        Ok(())
    }

    /// Returns whether all versions that this host knows are recorded as listed.
    pub fn include_listed(&self, state: &State) -> bool {
        let listed = state.listed_versions();
        !listed.is_empty() && listed.is_subset(&self.present())
    }

    /// The versions that are recorded as listed, as this host last wrote or read them.
    fn present(&self) -> BTreeSet<Origin> {
        self.stored.value().map(Record::present).unwrap_or_default()
    }

    /// Returns the record to write in place of the one that was read; `None` if that may stay.
    fn next(&mut self, state: &State) -> Option<Record> {
        let now_ms = state.now_ms();
        let mut record = self.stored.value().cloned().unwrap_or_default();
        let lacked_some = record.add_missing(&self.known, now_ms);
        let (present, era) = (record.present(), self.unstated_era(state));
        let expected = self.expected(state, &present);
        if expected.is_none() && !lacked_some && era.is_none() {
            return None;
        }
        let updated = record.updated(&expected.unwrap_or(present), now_ms);
        Some(Record { era: era.or(record.era), ..updated })
    }

    /// Returns the store's era if the record does not state it and this host knows that the store lacks no
    /// versions: it has not been restored a moment ago, and this host did not start with an older copy.
    fn unstated_era(&self, state: &State) -> Option<Era> {
        let era = state.store_era()?;
        let now = state.now();
        let is_complete = self.incomplete_until.is_none_or(|until| now >= until)
            && state.era.borrow().is_settled(now);
        let stated = self.stored.value().and_then(|record| record.era);
        (is_complete && stated != Some(era)).then_some(era)
    }

    /// Returns what should be recorded as listed, if that is not `recorded`.
    fn expected(&mut self, state: &State, recorded: &BTreeSet<Origin>) -> Option<BTreeSet<Origin>> {
        let now = state.now();
        let (_, age) = state.servers.borrow().digest_age(now)?;
        let confirmed_at = now.checked_sub(age).unwrap_or(now);
        let listed = Listed { versions: state.listed_versions(), confirmed_at };
        self.comparison.expected(now, &listed, recorded)
    }
}

/// Reads the record of versions.
pub async fn read(state: &State) -> Result<Record> {
    let mut stored = Stored::new(KIND, NAME);
    stored.read(state).await?;
    Ok(stored.value().cloned().unwrap_or_default())
}

/// Takes over the versions that a record has.
pub fn apply(state: &State, record: &Record) {
    let now = state.now();
    for (origin, age) in record.ages(state.now_ms()) {
        state.origins.borrow_mut().record_listed_before(now, origin, age);
    }
    state.set_version_record(record.clone());
}

impl State {
    /// Returns the services and versions of the listed servers.
    pub fn listed_versions(&self) -> BTreeSet<Origin> {
        let members = self.servers.borrow().get();
        let origins = members.into_iter().map(|m| Origin { service: m.service, build: m.build });
        origins.collect()
    }

    /// Takes in the record of versions, as the store has it now.
    pub fn set_version_record(&self, record: Record) {
        *self.version_record.borrow_mut() = record;
        self.update_unrecorded_versions();
    }

    /// Returns whether the record of versions may lack some that were in service: the store was restored, and no host
    /// that knows them has written them again.
    pub fn may_lack_versions(&self) -> bool {
        let era = self.store_era();
        self.version_record.borrow().is_older_copy(era)
    }

    /// Returns the version of a service at which streams that nobody remembers began, if they keep to established
    /// versions and there is only one. Needs no whole record: if that may lack versions, the hosts of such streams had
    /// ended when this era of the store began.
    pub fn sole_established_version(&self, service: &PoolId) -> Option<Build> {
        if !self.all_keep_to_established.get() {
            return None;
        }
        let now_ms = self.now_ms();
        let mut ended_ms = now_ms;
        if self.may_lack_versions() {
            let era_age = self.now().saturating_duration_since(self.era.borrow().known()?.since);
            ended_ms = now_ms.saturating_sub(era_age.as_millis() as u64);
        }
        let record = self.version_record.borrow();
        let sole = record.sole_established(service, ended_ms, now_ms)?;
        // Streams were kept to it only while a server of it took work, as this one has done since a newer version came.
        let newer_ms = record.first_unestablished_ms(service, now_ms).unwrap_or(u64::MAX);
        let has_stayed = |member: &Member| {
            member.service == *service
                && member.build == sole
                && member.phase == Phase::Ready
                && member.born_ms < newer_ms
        };
        self.servers.borrow().get().iter().any(has_stayed).then_some(sole)
    }

    /// Finds anew which versions are listed and not recorded, after a change of either.
    pub fn update_unrecorded_versions(&self) {
        let listed = self.listed_versions();
        let recorded = self.version_record.borrow().present();
        let unrecorded = listed.difference(&recorded).cloned().collect();
        *self.unrecorded_versions.borrow_mut() = unrecorded;
    }
}
