//! Chooses the backend server for the first or next send of a request, or refuses it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use log::info;
use rand::Rng as _;
use wasabi_belief::{members, origins};
use wasabi_core::{
    errors::{Code, Error, Ran, Result},
    member::{Member, Phase},
    units::{Build, Domain, RequestRate, ServerId},
};
use wasabi_policy::{
    balancer::{PlacementRequest, Refusal},
    wait_limit,
};

use crate::{
    guard::PlacementGuard,
    receive::{
        admit::{self, Admission},
        request::AdmittedRequest,
        response,
    },
    send::{attempt, cause, history::SendHistory, overload},
    state::State,
};

/// How long after the beginning of a stop requests are expected, until the load balancer and callers have turned
/// to other hosts.
const EXPECTED_WHILE_STOPPING: Duration = Duration::from_millis(2_800);
/// Placements allowed beyond the route's `max_attempts`, for sends that servers did not run.
const MAX_EXTRA_PLACEMENTS: usize = 2;

/// Places a request for its first or next send.
///
/// Fails if the time, the attempts or the repeat budget are used up, if the request may not run
/// twice, if it might be cut off by this host's stop, if its key is no longer proven to be in
/// force, if requests like it crash servers, or if no server can take it in time.
pub fn place(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    last_event: Option<u64>,
) -> Result<PlacementGuard> {
    let admission = &inbound.admission;
    let now = state.now();
    let ran = if history.possible_runs > 0 { Ran::Unknown } else { Ran::No };
    let remaining = inbound.deadline.saturating_duration_since(now);
    let refuse = |code: Code, detail: &str| {
        let wait = wait_limit::unplaced_retry_delay(rand::rng().random(), remaining);
        response::retry_later(code, detail, wait).ran(ran)
    };
    let unavailable = |detail: &str| refuse(Code::ServerUnavailable, detail);
    if remaining < attempt::MIN_REMAINING_TIME {
        return Err(Error::new(Code::AnswerTimeout, history.last_cause).ran(Ran::Unknown));
    }
    if history.placements > 0 || history.possible_runs > 0 {
        let exhausted = history.possible_runs >= admission.route.max_attempts
            || history.placements - history.misdirected
                >= admission.route.max_attempts as usize + MAX_EXTRA_PLACEMENTS;
        let repeatable = history.possible_runs == 0 || admission.route.kind.is_repeatable();
        if exhausted || !repeatable {
            return Err(unavailable(history.last_cause));
        }
        let hosts = state.live_hosts();
        let is_repeat = history.placements > history.unsent || history.possible_runs > 0;
        if is_repeat
            && !state.with_repeat_budget(&admission.service, |budget| budget.try_repeat(now, hosts))
        {
            return Err(unavailable("no budget to repeat"));
        }
    }
    if history.placements == 0 && may_outlast_host(state, inbound, now) {
        return Err(refuse(Code::Stopping, "it would be cut off here"));
    }
    admit::check_key(state, admission).map_err(|e| e.ran(ran))?;
    if state.has_outdated_servers() {
        return Err(refuse(Code::Isolated, "other hosts have a younger list of servers"));
    }
    if let Some(refusal) = state.check_quarantine(&inbound.features) {
        return Err(refusal.error().ran(ran));
    }
    let max_wait = match history.placements {
        0 => inbound.max_wait,
        _ => remaining,
    };
    let excluded = withheld_versions(state, inbound, history);
    let mut barred = servers_outside(state, admission);
    barred.extend_from_slice(&history.refused);
    let placement_request = PlacementRequest {
        prompt: inbound.head.prompt.as_ref(),
        max_wait,
        target_gap: admission.route.target_gap,
        urgency: admission.urgency,
        build: history.build.as_ref(),
        excluded: &excluded,
        avoid: &history.avoid,
        refused: &barred,
    };
    let queue_limit = overload::limit(state, now, inbound, history);
    let mut balancers = state.balancers.borrow_mut();
    let Some(balancer) = balancers.get_mut(&admission.service) else {
        return Err(unavailable("no servers are known"));
    };
    match balancer.place_within(now, &placement_request, queue_limit.max_queue) {
        Ok(placement) => {
            overload::record_placed(state, now, inbound, history, &placement, balancer);
            drop(balancers);
            history.placements += 1;
            state.quarantine.borrow_mut().record_sent(now, &inbound.features);
            let instance = members::instance(&placement.member);
            let limit = state.limits.borrow().limit(&instance).map(RequestRate::per_second);
            if limit.is_some() {
                metrics::counter!("wasabi_gateway_limited_placements_total",
                    "service" => placement.member.service.to_string())
                .increment(1);
            }
            let continued_by = match (last_event, inbound.continues()) {
                (Some(_), _) => Some("host"),
                (None, true) => Some("caller"),
                (None, false) => None,
            };
            if let Some(by) = continued_by {
                metrics::counter!("wasabi_gateway_continued_streams_total", "by" => by)
                    .increment(1);
            }
            let request = inbound.head.id.as_str();
            info!(target: wasabi_logs::REQUEST_TARGET, request = request,
                server = placement.member.id.as_str(), domain = placement.member.domain.as_str(),
                sent = history.placements,
                expected_ms = placement.expected_wait.as_millis() as u64,
                work_ms = placement.prefill_ms as u64,
                expected_gap_ms = placement.expected_gap.as_millis() as u64,
                step_percent = (placement.speed.step * 100.0) as u64,
                prefill_percent = (placement.speed.prefill * 100.0) as u64,
                patience_ms = max_wait.as_millis() as u64,
                rank = admission.rank, urgency = admission.urgency,
                max_queue_ms = overload::max_queue_ms(&queue_limit), excess = queue_limit.excess,
                yields = queue_limit.promised, returns = inbound.is_return,
                version = admission.catalog.version.0, limit = limit,
                build = placement.member.build.as_str(), born_ms = placement.member.born_ms,
                list_age_ms = state.list_age_ms(),
                content = inbound.content.to_string().as_str(),
                resumes = inbound.head.resumes.as_deref().unwrap_or_default(),
                after = history.last_cause, resumed_after = last_event.or(inbound.head.last_event).unwrap_or(0); "placed");
            Ok(PlacementGuard::new(state.clone(), admission.service.clone(), placement))
        }
        Err(Refusal::NoServer) if history.build.is_some() => {
            Err(unavailable("no server of the version that began the stream"))
        }
        Err(Refusal::NoServer) => Err(unavailable("no server takes work")),
        Err(Refusal::Paused(wait)) => {
            let wait = wait_limit::after_pause(wait, rand::rng().random());
            Err(response::retry_later(
                Code::Overloaded,
                "all servers pause or are at their limits",
                wait,
            )
            .ran(ran))
        }
        Err(Refusal::NoServerInTime(wait)) => {
            let times = (wait, remaining);
            let offer = overload::refuse(state, now, inbound, history, &queue_limit, times);
            let pause = offer.unwrap_or_else(|| {
                let draw = rand::rng().random();
                wait_limit::late_retry_delay(wait, inbound.max_wait, remaining, draw)
            });
            let detail = match history.refused.is_empty() {
                true if queue_limit.due.is_some() => "it returned before its time".to_string(),
                true if queue_limit.is_over_share() => {
                    "its workspace is over its share".to_string()
                }
                true => format!("expected {} ms", wait.as_millis()),
                false => cause::TURNED_AWAY.to_string(),
            };
            Err(response::retry_later(Code::Overloaded, detail, pause).ran(ran))
        }
    }
}

/// Returns the servers that may not run a request because its route or its workspace keeps to other regions. The
/// region of each server must be known to be an allowed one.
fn servers_outside(state: &State, admission: &Admission) -> Vec<ServerId> {
    let Some(homes) = &admission.homes else { return Vec::new() };
    let settings = state.settings.borrow();
    let is_home =
        |domain: &Domain| settings.regions.get(domain).is_some_and(|region| homes.contains(region));
    let members = state.servers.borrow().get().into_iter();
    members.filter(|member| !is_home(&member.domain)).map(|member| member.id).collect()
}

/// Returns the versions at which a stream must not begin that may be taken up later: those that are not recorded, so
/// that hosts that start do not know of them, and, for most streams, those that a restore of the store may take out
/// of the record. They are used if all servers of other versions leave or have left.
fn withheld_versions(
    state: &State,
    inbound: &AdmittedRequest,
    history: &SendHistory,
) -> Vec<Build> {
    let (admission, kind) = (&inbound.admission, inbound.admission.route.kind);
    if history.build.is_some() || !kind.is_stream() || !kind.is_repeatable() {
        return Vec::new();
    }
    let unrecorded = state.unrecorded_versions.borrow();
    let of_service = unrecorded.iter().filter(|origin| origin.service == admission.service);
    let mut withheld: Vec<Build> = of_service.map(|origin| origin.build.clone()).collect();
    let begun = origins::stream_id(admission.workspace.as_ref(), &inbound.head.id);
    if origins::keeps_to_established(begun) {
        let record = state.version_record.borrow();
        withheld.extend(record.unestablished(&admission.service, state.now_ms()).cloned());
    }
    if withheld.is_empty() {
        return withheld;
    }
    // One that leaves never takes work again, so nothing goes on there later either.
    let is_other = |member: &Member| {
        member.service == admission.service
            && member.phase == Phase::Ready
            && !withheld.contains(&member.build)
    };
    let has_other = state.servers.borrow().get().iter().any(is_other);
    if has_other { withheld } else { Vec::new() }
}

/// Returns a placement on another server for a request that is stuck; `None` if it has to stay.
pub fn place_elsewhere(
    state: &Rc<State>,
    inbound: &AdmittedRequest,
    history: &mut SendHistory,
    guard: &PlacementGuard,
    last_event: Option<u64>,
) -> Option<PlacementGuard> {
    let previous_cause = std::mem::replace(&mut history.last_cause, cause::STUCK);
    history.avoid.push(guard.placement.member.id.clone());
    let other = place(state, inbound, history, last_event).ok();
    let other = other.filter(|other| other.placement.member.id != guard.placement.member.id);
    if other.is_none() {
        history.last_cause = previous_cause;
        history.avoid.pop();
    }
    other
}

/// Returns whether this host is stopping and a request may last longer than the time that is left.
///
/// A stopping host still gets requests, over open connections until its end; a caller that is refused at
/// once can try another host, while one that is served might be cut off. How long a stream takes follows from its
/// prompt. Other requests may take all of their time, but few do: only those are refused for that which come
/// when no new connections do.
fn may_outlast_host(state: &State, inbound: &AdmittedRequest, now: Instant) -> bool {
    let (Some(since), Some(end)) = (state.stopping_since.get(), state.drain_end()) else {
        return false;
    };
    let prompt = inbound.head.prompt.as_ref();
    match prompt.filter(|_| inbound.admission.route.kind.is_stream()) {
        Some(prompt) => now + wait_limit::max_stream_duration(prompt) > end,
        None => {
            now.saturating_duration_since(since) >= EXPECTED_WHILE_STOPPING
                && inbound.deadline > end
        }
    }
}
