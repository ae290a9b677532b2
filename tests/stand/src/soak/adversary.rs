//! An adversary: runs of two or three moves that are drawn from the users' pages by a seed. A run that breaks a promise
//! is shrunk to the fewest moves.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{SeedableRng as _, rngs::StdRng};

use super::{
    Outcome, Programs, Run,
    calls::SentRequest,
    moves::{self, FATAL_TARGET, Kind, LATE_SERVER, LIMIT_PER_S, Move},
};
use crate::{caller::Request, server::Arrival};

/// How long callers are watched, from the first move on.
const TIME: Duration = Duration::from_millis(9_000);
const TICK: Duration = Duration::from_millis(100);
/// From this time after the evidence on, hosts act on it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes that are needed as evidence against a request, and how often it may reach servers afterwards.
const REQUEST_CRASHES: usize = 3;
const MAX_LATE_FATAL: usize = 3;
/// Requests over kept connections that are passed on and may get no answer.
const MAX_LOST: usize = 3;
/// Two servers may work on a stream for so long.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// The window of the rule on limits, and what it allows beside one and a half times the limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_ALLOWANCE: f64 = 5.0;
/// Reads that show whether a new server is known.
const READS: usize = 60;

/// The moves of a seed.
pub fn draw(seed: u64) -> Vec<Move> {
    moves::draw(&mut StdRng::seed_from_u64(seed))
}

/// Plays moves and judges what callers, servers and the platform saw.
pub fn play(programs: Programs<'_>, seed: u64, moves: &[Move]) -> anyhow::Result<Outcome> {
    let mut run = Run::start(programs, seed)?;
    run.backups.push(run.rig.store.backup());
    let callers = run.start_callers(seed);
    let stop_fatal = AtomicBool::new(false);
    let addresses = run.caller_addresses.clone();
    let key = run.key.clone();
    let began = Instant::now();
    let played = thread::scope(|scope| {
        if moves.iter().any(|next| next.kind == Kind::FatalRequest) {
            scope.spawn(|| {
                for number in 0.. {
                    if stop_fatal.load(Ordering::SeqCst) {
                        return;
                    }
                    let to = addresses.lock()[number % super::GATEWAYS];
                    let id = format!("fatal-{number}");
                    let mut request = Request::new("POST", FATAL_TARGET, &id);
                    request.key = Some(format!("key{}", key.load(Ordering::SeqCst)));
                    request.deadline = Duration::from_secs(1);
                    // It is refused or breaks off.
                    let _ = request.send(to);
                    thread::sleep(TICK * 3);
                }
            });
        }
        let mut play = || -> anyhow::Result<()> {
            let mut next = moves.iter().peekable();
            while began.elapsed() < TIME {
                while let Some(due) = next.next_if(|next| next.at <= began.elapsed()) {
                    run.outcome.trace.push(due.to_string());
                    run.begin(due)?;
                }
                run.run_for(TICK)?;
            }
            run.end_all_faults()
        };
        let played = play();
        stop_fatal.store(true, Ordering::SeqCst);
        played
    });
    played?;
    run.rig.servers.iter().for_each(|(server, _)| server.set_leaving(false));
    let limited = moves.iter().any(|next| next.kind == Kind::ServersLimited);
    // Hosts with a limit refuse what is above it.
    let recovered = if limited { Ok(()) } else { run.wait_recovered() };
    run.outcome.violations.extend(recovered.err().map(|e| e.to_string()));
    run.check_late_server(limited);
    let sent = callers.stop();
    run.check_guarantees(&sent);
    if moves.iter().all(|next| !next.kind.disturbs_hosts()) {
        run.check_in_touch(limited, &sent);
    }
    Ok(run.outcome)
}

/// Leaves out one move after another as long as the run still breaks a promise; returns the fewest moves.
pub fn shrink(programs: Programs<'_>, seed: u64, moves: &[Move]) -> anyhow::Result<Vec<Move>> {
    let mut kept = moves.to_vec();
    let mut number = 0;
    while number < kept.len() {
        let mut fewer = kept.clone();
        fewer.remove(number);
        match play(programs, seed, &fewer)?.violations.is_empty() {
            true => number += 1,
            false => kept = fewer,
        }
    }
    Ok(kept)
}

impl Run {
    /// Checks that the server that came after an odd entry gets requests.
    fn check_late_server(&mut self, limited: bool) {
        let Some((late, _)) = self.rig.servers.iter().find(|(server, _)| server.id == LATE_SERVER)
        else {
            return;
        };
        if limited {
            return;
        }
        for number in 0..READS {
            let gateway = &self.gateways[number % self.gateways.len()];
            let mut read = Request::new("GET", "/read/x", &format!("late-{number}"));
            read.key = Some(format!("key{}", self.key.load(Ordering::SeqCst)));
            // Others are read for the same end.
            let _ = read.send(gateway.addresses.callers);
        }
        if late.arrivals().is_empty() {
            let violation = "a new server gets no requests after an odd entry".to_string();
            self.outcome.violations.push(violation);
        }
    }

    /// Checks the rules that hold for hosts in touch.
    fn check_in_touch(&mut self, limited: bool, sent: &[SentRequest]) {
        let mut violations = Vec::new();
        let mut crashes: Vec<Instant> =
            self.rig.servers.iter().flat_map(|(server, _)| server.crashed_at()).collect();
        crashes.sort();
        let arrivals: Vec<Arrival> =
            self.rig.servers.iter().flat_map(|(server, _)| server.arrivals()).collect();
        if let Some(third) = crashes.get(REQUEST_CRASHES - 1) {
            let late = |arrival: &&Arrival| {
                arrival.target == FATAL_TARGET && arrival.at > *third + CONTACT
            };
            let late = arrivals.iter().filter(late).count();
            if late > MAX_LATE_FATAL {
                violations.push(format!("a request that crashes servers reached {late} late"));
            }
        }
        let mut runs: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in arrivals.iter().filter(|arrival| arrival.ran && is_stream(arrival)) {
            runs.entry(&arrival.id).or_default().push(arrival);
        }
        for (id, mut runs) in runs {
            runs.sort_by_key(|run| run.at);
            for pair in runs.windows(2) {
                let overlap =
                    pair[0].worked_until().map(|until| until.saturating_duration_since(pair[1].at));
                if overlap.is_some_and(|overlap| overlap > MAX_OVERLAP) {
                    violations.push(format!("two servers worked on {id} for {overlap:?}"));
                }
            }
        }
        let ran: BTreeSet<&str> = arrivals
            .iter()
            .filter(|arrival| arrival.ran)
            .map(|arrival| arrival.id.as_str())
            .collect();
        let lost = |request: &&SentRequest| {
            request.kept && request.response.is_none() && ran.contains(request.id.as_str())
        };
        let lost = sent.iter().filter(lost).count();
        if lost > MAX_LOST {
            violations.push(format!("{lost} requests that were passed on got no answer"));
        }
        if limited {
            for (server, _) in self.rig.servers.iter().filter(|(server, _)| !server.streams) {
                violations.extend(limit_problem(&server.id, &server.arrivals()));
            }
        }
        self.outcome.violations.extend(violations);
    }
}

fn is_stream(arrival: &Arrival) -> bool {
    arrival.target.starts_with("/chat/") && arrival.target != FATAL_TARGET
}

/// Returns what is wrong if a server gets more than its limit allows, once hosts have heard of it. No answer before the
/// first move names a limit, so it counts from then.
fn limit_problem(server: &str, arrivals: &[Arrival]) -> Option<String> {
    let from = arrivals.first()?.at + BEGIN_AND_CONTACT;
    let late: Vec<Instant> = arrivals.iter().map(|a| a.at).filter(|at| *at > from).collect();
    let most = LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() * 1.5 + LIMIT_ALLOWANCE;
    let within =
        |from: Instant| late.iter().filter(|at| **at >= from && **at < from + LIMIT_WINDOW).count();
    let found = late.iter().map(|at| within(*at)).max()?;
    (found as f64 > most).then(|| format!("{server} got {found} requests in a window of its limit"))
}

/// All moves have begun, and `CONTACT` has passed.
const BEGIN_AND_CONTACT: Duration = Duration::from_millis(5_000);
