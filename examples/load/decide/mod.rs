//! Simulation of placement in virtual time: `decide SCENARIO` compares the placement of the router
//! with placement by least requests in flight and with an oracle, on engines with continuous
//! batching.

mod policy;
mod scenario;
mod simulation;

use anyhow::Context as _;

use self::{
    policy::{Balancers, LeastInFlight, Oracle, Policy},
    scenario::{Class, Request, Scenario},
    simulation::RequestOutcome,
};

/// The policies that can be simulated.
pub const POLICIES: &[&str] = &["least-in-flight", "boards", "all-knowing", "all-knowing-lanes"];
/// Length of the windows that are compared; the smallest value share is printed.
const WORST_WINDOW_MS: f64 = 2_000.0;

/// Simulates the scenario under each policy, and prints how callers are served.
pub fn run(name: &str, policies: &[&str], seed: u64) -> anyhow::Result<()> {
    let scenario = scenario::by_name(name).context("no such scenario")?;
    let requests = scenario::requests(&scenario, seed)?;
    println!("{} with seed {seed}: {} requests", scenario.name, requests.len());
    println!(
        "{:<18} {:<6} {:>6} {:>7} {:>6} {:>7} {:>6} {:>8} {:>8} {:>6} {:>6}",
        "policy",
        "class",
        "asked",
        "in time",
        "late",
        "refused",
        "none",
        "p50 ms",
        "p99 ms",
        "worth",
        "worst"
    );
    for policy in policies {
        let mut placement: Box<dyn Policy> = match *policy {
            "least-in-flight" => Box::new(LeastInFlight::new(&scenario, requests.len())),
            "boards" => Box::new(Balancers::new(&scenario, requests.len(), seed)?),
            other => {
                let has_reservation = other == "all-knowing-lanes";
                Box::new(Oracle::new(&scenario, requests.len(), has_reservation)?)
            }
        };
        let outcomes = simulation::simulate(&scenario, &requests, &mut *placement);
        for (number, class) in scenario.classes.iter().enumerate() {
            print_class(policy, class, &outcomes_of_class(&requests, &outcomes, number));
        }
        let all = value_share(&scenario, &requests, &outcomes, |_| true);
        println!(
            "{policy:<18} all {:>69.3} {:>6.3}",
            all,
            worst_window_share(&scenario, &requests, &outcomes)
        );
    }
    Ok(())
}

fn outcomes_of_class(
    requests: &[Request],
    outcomes: &[RequestOutcome],
    class: usize,
) -> Vec<RequestOutcome> {
    let own = requests.iter().zip(outcomes).filter(|(request, _)| request.class == class);
    own.map(|(_, outcome)| *outcome).collect()
}

/// Returns what a request earned: the first of the values of its class if it was on time, the
/// second if it was late, zero if it was not complete.
fn earned_value(class: &Class, outcome: &RequestOutcome) -> f64 {
    match outcome.first_event_ms {
        Some(first) if outcome.complete => {
            let on_time = first <= class.target_ms && outcome.longest_gap_ms <= class.max_gap_ms;
            if on_time { class.value.0 } else { class.value.1 }
        }
        _ => 0.0,
    }
}

/// Returns the value of the requests that arrive at the selected times, as a share of their value
/// if all were on time.
fn value_share(
    scenario: &Scenario,
    requests: &[Request],
    outcomes: &[RequestOutcome],
    selected: impl Fn(f64) -> bool,
) -> f64 {
    let mut sum = 0.0;
    let mut maximum = 0.0;
    for (request, outcome) in requests.iter().zip(outcomes).filter(|(r, _)| selected(r.at_ms)) {
        let class = &scenario.classes[request.class];
        sum += earned_value(class, outcome);
        maximum += class.value.0;
    }
    if maximum > 0.0 { sum / maximum } else { 0.0 }
}

/// Returns the smallest value share of all windows.
fn worst_window_share(
    scenario: &Scenario,
    requests: &[Request],
    outcomes: &[RequestOutcome],
) -> f64 {
    let windows = (scenario.length_ms / WORST_WINDOW_MS) as u32;
    let window_share = |window: u32| {
        let from = f64::from(window) * WORST_WINDOW_MS;
        value_share(scenario, requests, outcomes, |at| (from..from + WORST_WINDOW_MS).contains(&at))
    };
    (0..windows).map(window_share).fold(f64::INFINITY, f64::min)
}

fn print_class(policy: &str, class: &Class, outcomes: &[RequestOutcome]) {
    let on_time =
        outcomes.iter().filter(|outcome| earned_value(class, outcome) == class.value.0).count();
    let late =
        outcomes.iter().filter(|outcome| earned_value(class, outcome) == class.value.1).count();
    let refused =
        outcomes.iter().filter(|outcome| !outcome.complete && outcome.refusals > 0).count();
    let mut first_event_times: Vec<f64> =
        outcomes.iter().filter_map(|outcome| outcome.first_event_ms).collect();
    first_event_times.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let index = (first_event_times.len() as f64 * share) as usize;
        first_event_times
            .get(index.min(first_event_times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    };
    let earned: f64 = outcomes.iter().map(|outcome| earned_value(class, outcome)).sum();
    println!(
        "{policy:<18} {:<6} {:>6} {on_time:>7} {late:>6} {refused:>7} {:>6} {:>8.0} {:>8.0} {:>6.3}",
        class.name,
        outcomes.len(),
        outcomes.len() - on_time - late - refused,
        quantile(0.5),
        quantile(0.99),
        earned / (outcomes.len() as f64 * class.value.0)
    );
}
