//! To which features of requests each crash of a server is put down.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use wasabi_core::units::{PoolId, ServerId};

use super::{BrokenRun, Combination, Feature, Quarantine, View};

/// Crashes that a feature must explain if no run with it has ended well. Chance alone rarely repeats a
/// crash for the same feature; the users' contracts count on a decision after three.
const MIN_CRASHES: usize = 3;
/// Crashes that a feature must explain if a run with it has ended well before them.
const MIN_CRASHES_OF_PROVEN: usize = 4;
/// The first crash must be this long ago: by then, runs of a sound feature that began meanwhile have ended
/// well, and hosts have told each other.
const SETTLING: Duration = Duration::from_millis(1_000);
/// Crashes of several servers within this time are of one moment, unless a request was sent after one
/// and met the next: a failure of their machine or network takes many servers at once.
const SIMULTANEOUS: Duration = Duration::from_millis(200);
/// A run that breaks off this long after a crash of its server belongs to another one.
const CRASH_SPREAD: Duration = Duration::from_millis(2_000);
/// The most combinations, those of different requests, that are quarantined for the same crashes.
const MAX_EQUAL: usize = 3;

/// The end of one server, with what may have caused it.
struct Crash<'a> {
    service: &'a PoolId,
    /// Whether one of its broken runs is known to be, see [`BrokenRun::controlled`].
    controlled: bool,
    server: &'a ServerId,
    ended: Instant,
    /// The features of its broken runs that are not cleared, and when the last run with each was sent.
    suspects: BTreeMap<Feature, Instant>,
}

impl View {
    /// Puts each crash down to the features that explain the most of those not yet explained. Returns the
    /// combinations that explain enough, and when the next one will have settled.
    ///
    /// Features of the same requests that explain crashes equally well cannot be told apart: one of them is the
    /// cause, so only requests that have all of them are sure to have it. Crashes that a few different requests
    /// explain equally well are put down to each of them for a while; those of many to none, as in an outage.
    pub(super) fn judge(
        &self,
        now: Instant,
    ) -> (BTreeMap<Combination, Quarantine>, Option<Instant>) {
        let crashes = self.crashes();
        let mut explained = vec![false; crashes.len()];
        let suspected = suspected_in(&crashes);
        let mut quarantined = BTreeMap::new();
        let mut settled_at: Option<Instant> = None;
        loop {
            let often = suspected.iter().filter(|(_, indexes)| indexes.len() >= MIN_CRASHES);
            let explaining = often.filter_map(|(feature, indexes)| {
                let own = indexes.iter().copied().filter(|index| !explained[*index]);
                let own: Vec<&Crash<'_>> = own.map(|index| &crashes[index]).collect();
                let unproven = self.proofs.get(*feature).is_none();
                let quarantine = explained_by(*feature, unproven, &own)?;
                let controls = self.controls.get(own[0].service);
                let Quarantine { first, last, .. } = quarantine;
                let controlled = own.iter().any(|crash| crash.controlled)
                    || controls.is_some_and(|controls| {
                        controls.has_without(*feature, unproven, first, last)
                    });
                if !unproven && !controlled {
                    return None;
                }
                let quarantine = Quarantine { controlled, ..quarantine };
                let needed = if unproven { MIN_CRASHES } else { MIN_CRASHES_OF_PROVEN };
                let rank = (quarantine.crashes, unproven);
                (quarantine.crashes >= needed).then_some((rank, *feature, quarantine))
            });
            let explaining: Vec<_> = explaining.collect();
            let Some(most) = explaining.iter().map(|(rank, ..)| *rank).max() else { break };
            let best: BTreeMap<Feature, Quarantine> = explaining
                .into_iter()
                .filter(|(rank, ..)| *rank == most)
                .map(|(_, feature, quarantine)| (feature, quarantine))
                .collect();
            let combinations = self.combinations(&best);
            let ambiguous = combinations.len() > 1;
            for combination in combinations.iter().filter(|_| combinations.len() <= MAX_EQUAL) {
                let explaining = combination.features().filter_map(|feature| best.get(&feature));
                let Some(quarantine) = explaining.copied().reduce(Quarantine::weaker) else {
                    continue;
                };
                let settled = quarantine.first + SETTLING;
                if settled <= now {
                    let quarantine = Quarantine { ambiguous, ..quarantine };
                    quarantined.insert(combination.clone(), quarantine);
                } else {
                    settled_at = Some(settled_at.map_or(settled, |at| at.min(settled)));
                }
            }
            for index in best.keys().filter_map(|feature| suspected.get(feature)).flatten() {
                explained[*index] = true;
            }
        }
        (quarantined, settled_at)
    }

    /// Returns the combinations of these features that broken runs have, without those that are part of another
    /// one. Stops once there are more than [`MAX_EQUAL`].
    fn combinations(&self, features: &BTreeMap<Feature, Quarantine>) -> Vec<Combination> {
        let of_run = |run: &BrokenRun| -> Combination {
            run.features.iter().filter(|feature| features.contains_key(feature)).copied().collect()
        };
        let all: BTreeSet<Combination> = self.runs.iter().map(of_run).collect();
        let mut all: Vec<Combination> = all.into_iter().filter(|one| !one.is_empty()).collect();
        all.sort_by_key(|one| Reverse(one.len()));
        let mut largest: Vec<Combination> = Vec::new();
        for one in all {
            if largest.len() > MAX_EQUAL {
                break;
            }
            if !largest.iter().any(|other| one.features().all(|f| other.contains(f))) {
                largest.push(one);
            }
        }
        largest
    }

    /// Returns the crashes by time, each with the features that may have caused it.
    fn crashes(&self) -> Vec<Crash<'_>> {
        let mut runs: Vec<&BrokenRun> = self.runs.iter().collect();
        runs.sort_by_key(|run| run.ended);
        let mut crashes: Vec<Crash<'_>> = Vec::new();
        for run in runs {
            let same =
                |crash: &&mut Crash<'_>| *crash.server == run.server && run.sent < crash.ended;
            let recent = |crash: &&mut Crash<'_>| run.ended < crash.ended + CRASH_SPREAD;
            let known = crashes.iter_mut().rev().take_while(recent).find(same);
            let suspects = run.features.iter();
            let suspects = suspects.filter(|feature| !self.proofs.clears(**feature, run.ended));
            let suspects = suspects.map(|feature| (*feature, run.sent));
            match known {
                Some(crash) => {
                    crash.controlled |= run.controlled;
                    crash.suspects.extend(suspects);
                }
                None => crashes.push(Crash {
                    controlled: run.controlled,
                    service: &run.service,
                    server: &run.server,
                    ended: run.ended,
                    suspects: suspects.collect(),
                }),
            }
        }
        crashes
    }
}

/// Returns the positions of the crashes that each feature may have caused. Of crashes at the same time, a
/// feature must be able to explain more than half: those of an outage have little in common.
fn suspected_in(crashes: &[Crash<'_>]) -> BTreeMap<Feature, Vec<usize>> {
    let mut suspected: BTreeMap<Feature, Vec<usize>> = BTreeMap::new();
    for (index, crash) in crashes.iter().enumerate() {
        for feature in crash.suspects.keys() {
            suspected.entry(*feature).or_default().push(index);
        }
    }
    let together: Vec<(usize, usize)> = crashes
        .iter()
        .map(|crash| {
            let begin = crashes.partition_point(|other| other.ended + SIMULTANEOUS <= crash.ended);
            let end = crashes.partition_point(|other| other.ended < crash.ended + SIMULTANEOUS);
            (begin, end)
        })
        .collect();
    for indexes in suspected.values_mut() {
        let all = indexes.clone();
        indexes.retain(|index| {
            let (begin, end) = together[*index];
            let with = all.partition_point(|other| *other < end)
                - all.partition_point(|other| *other < begin);
            with * 2 > end - begin
        });
    }
    suspected
}

/// Returns the crashes that a feature may have caused. Those of one moment count each only if it is `unproven`.
fn explained_by(feature: Feature, unproven: bool, crashes: &[&Crash<'_>]) -> Option<Quarantine> {
    let mut explained: Option<Quarantine> = None;
    for crash in crashes {
        let Some(sent) = crash.suspects.get(&feature) else { continue };
        let (first, last) = (crash.ended, crash.ended);
        let quarantine = match explained {
            None => Quarantine {
                crashes: 1,
                moments: 1,
                controlled: false,
                ambiguous: false,
                first,
                last,
            },
            Some(before) => {
                let separate = crash.ended >= before.last + SIMULTANEOUS || *sent >= before.last;
                Quarantine {
                    crashes: before.crashes + usize::from(separate || unproven),
                    moments: before.moments + usize::from(separate),
                    last: if separate { last } else { before.last },
                    ..before
                }
            }
        };
        explained = Some(quarantine);
    }
    explained
}
