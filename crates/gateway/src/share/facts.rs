//! What hosts tell each other of servers, streams and requests: collected for announcements, split into packets, and
//! applied.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use wasabi_belief::{announcement::DemandByService, facts::Facts, link, origins};
use wasabi_core::units::HostId;
use wasabi_policy::{overload::Control, quarantine::Evidence, stated_limits};

use crate::state::State;

/// The most statements on limits in one announcement.
pub const MAX_ANNOUNCED_LIMITS: usize = 24;
/// The most streams in one announcement that has nothing else.
pub const MAX_ANNOUNCED_STREAMS: usize = 120;
/// The most streams that are announced in one round; more wait for the next one.
const MAX_STREAMS_A_ROUND: usize = 2_000;
/// The most bytes of broken runs in one announcement that has nothing else.
const MAX_RUN_BYTES: usize = 1_000;
/// The most proofs in one announcement that has nothing else.
const MAX_ANNOUNCED_PROOFS: usize = 64;

/// Collects the next few statements of servers on their limits, the streams that began since the last
/// call, and evidence on requests that crash servers. Of the statements all are announced in turn, however
/// old: a peer may have missed any of them.
pub fn collect(state: &State) -> Facts {
    let now = state.now();
    let mut last_announced = state.last_announced_limit.borrow_mut();
    let view = state.limits.borrow();
    let limits = view.reports_following(now, last_announced.as_ref(), MAX_ANNOUNCED_LIMITS);
    *last_announced = limits.last().map(|report| (report.server.clone(), report.born_ms));
    Facts {
        limits,
        origins: state.origins.borrow_mut().take_unannounced(MAX_STREAMS_A_ROUND),
        evidence: state.quarantine.borrow_mut().next_evidence(now),
    }
}

/// Splits facts into parts that each fit a packet beside an announcement without load reports.
pub fn split(facts: Facts) -> Vec<Facts> {
    let Facts { limits, origins, evidence } = facts;
    let mut parts = vec![Facts { limits, ..Facts::default() }];
    for group in origins {
        parts.extend(group.streams.chunks(MAX_ANNOUNCED_STREAMS).map(|streams| {
            let origin = group.origin.clone();
            let group = origins::Group { origin, streams: streams.to_vec() };
            Facts { origins: vec![group], ..Facts::default() }
        }));
    }
    parts.extend(split_evidence(evidence).map(|evidence| Facts { evidence, ..Facts::default() }));
    parts.retain(|part| *part != Facts::default());
    parts
}

fn split_evidence(evidence: Evidence) -> impl Iterator<Item = Evidence> {
    let mut parts: Vec<Evidence> = Vec::new();
    let mut room = 0;
    for run in evidence.runs {
        let bytes = postcard::to_allocvec(&run).map_or(MAX_RUN_BYTES, |bytes| bytes.len());
        if parts.is_empty() || bytes > room {
            parts.push(Evidence::default());
            room = MAX_RUN_BYTES;
        }
        room = room.saturating_sub(bytes);
        if let Some(part) = parts.last_mut() {
            part.runs.push(run);
        }
    }
    let proofs = evidence.proofs.chunks(MAX_ANNOUNCED_PROOFS).map(|proofs| proofs.to_vec());
    let proofs = proofs.map(|proofs| Evidence { proofs, ..Evidence::default() });
    parts.extend(proofs);
    let controls = evidence.controls;
    if !controls.is_empty() {
        parts.push(Evidence { controls, ..Evidence::default() });
    }
    parts.into_iter()
}

/// Collects the work of workspaces and the return times of each service.
pub fn collect_demand(state: &State) -> DemandByService {
    let now = state.now();
    let mut controls = state.overload.borrow_mut();
    let reports = controls.iter_mut().map(|(service, control)| (service, control.report(now)));
    reports.filter_map(|(service, report)| Some((service.clone(), report?))).collect()
}

/// Applies what a peer, in an announcement sent no earlier than `earliest_send`, tells of the services
/// that this host knows.
pub fn apply_demand(
    state: &State,
    peer: &HostId,
    demand: DemandByService,
    earliest_send: Option<Instant>,
) {
    let now = state.now();
    let balancers = state.balancers.borrow();
    let mut controls = state.overload.borrow_mut();
    for (service, report) in demand {
        if balancers.contains_key(&service) {
            let control = controls.entry(service).or_insert_with(|| Control::new(now));
            control.apply(now, earliest_send, peer, report);
        }
    }
}

/// Adds later facts to those that are yet to be sent.
pub fn accumulate(pending: &mut Facts, later: &Facts) {
    pending.origins.extend(later.origins.iter().cloned());
    // All statements come in turn, so the latest ones suffice.
    pending.limits.clone_from(&later.limits);
    let runs = later.evidence.runs.iter();
    let known: BTreeSet<u64> = pending.evidence.runs.iter().map(|run| run.id).collect();
    let new = runs.filter(|run| !known.contains(&run.id)).cloned();
    pending.evidence.runs.extend(new);
    pending.evidence.proofs.extend(later.evidence.proofs.iter().cloned());
    // They tell of the latest run each.
    pending.evidence.controls.clone_from(&later.evidence.controls);
}

/// Decodes the facts and what follows them at the end of a datagram; what hosts of older versions do not
/// send is left out.
pub fn decode(bytes: &[u8]) -> (Facts, Option<link::Report>, DemandByService) {
    let Ok(((limits, origins), rest)) = postcard::take_from_bytes(bytes) else {
        return Default::default();
    };
    let Ok((evidence, rest)) = postcard::take_from_bytes(rest) else {
        return (Facts { limits, origins, ..Facts::default() }, None, Vec::new());
    };
    let facts = Facts { limits, origins, evidence };
    match postcard::take_from_bytes(rest) {
        Ok((link, rest)) => (facts, Some(link), postcard::from_bytes(rest).unwrap_or_default()),
        Err(_) => (facts, None, Vec::new()),
    }
}

/// Applies what a peer knows of streams, of requests that crash servers, and of the limits of servers.
///
/// That a limit was lifted counts as said at the earliest time possible, and is ignored without a bound
/// on the age of the announcement: it must not outweigh a limit that was named later.
pub fn apply(state: &State, facts: Facts, earliest_send: Option<Instant>) {
    let now = state.now();
    state.merge_evidence(facts.evidence, earliest_send);
    for group in facts.origins {
        for stream in group.streams {
            state.merge_origin(u64::from_be_bytes(stream), group.origin.clone());
        }
    }
    for report in facts.limits {
        let heard = match report.rate {
            Some(_) => Some(now),
            None => earliest_send,
        };
        let Some(heard) = heard else { continue };
        let at = heard.checked_sub(Duration::from_millis(report.age_ms)).unwrap_or(heard);
        let instance = (report.server, report.born_ms);
        state.merge_limit(instance, stated_limits::Statement { rate: report.rate, at });
    }
}
