//! Decisions on a load in virtual time: `decide SCENARIO` plays the boards of the router against
//! plain and all-knowing placement, over engines with continuous batching.

mod play;
mod policy;
mod scenario;

use anyhow::Context as _;

use self::{
    play::Fate,
    policy::{AllKnowing, Boards, LeastInFlight, Policy},
    scenario::{Class, Request, Scenario},
};

/// The policies that can be played.
pub const POLICIES: &[&str] = &["least-in-flight", "boards", "all-knowing", "all-knowing-lanes"];
/// Windows whose worst is shown.
const WINDOW_MS: f64 = 2_000.0;

/// Plays `scenario` under `policies` and prints what callers get.
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
        let mut chosen: Box<dyn Policy> = match *policy {
            "least-in-flight" => Box::new(LeastInFlight::new(&scenario, requests.len())),
            "boards" => Box::new(Boards::new(&scenario, requests.len(), seed)?),
            other => {
                let lanes = other == "all-knowing-lanes";
                Box::new(AllKnowing::new(&scenario, requests.len(), lanes)?)
            }
        };
        let fates = play::play(&scenario, &requests, &mut *chosen);
        for (number, class) in scenario.classes.iter().enumerate() {
            print_class(policy, class, &of_class(&requests, &fates, number));
        }
        let all = worth(&scenario, &requests, &fates, |_| true);
        println!("{policy:<18} all {:>69.3} {:>6.3}", all, worst(&scenario, &requests, &fates));
    }
    Ok(())
}

fn of_class(requests: &[Request], fates: &[Fate], class: usize) -> Vec<Fate> {
    let own = requests.iter().zip(fates).filter(|(request, _)| request.class == class);
    own.map(|(_, fate)| *fate).collect()
}

fn value(class: &Class, fate: &Fate) -> f64 {
    match fate.first_ms {
        Some(first) if fate.whole => {
            let on_time = first <= class.target_ms && fate.longest_gap_ms <= class.gap_ms;
            if on_time { class.worth.0 } else { class.worth.1 }
        }
        _ => 0.0,
    }
}

/// Returns what the requests at chosen times were worth, as a share of the most.
fn worth(
    scenario: &Scenario,
    requests: &[Request],
    fates: &[Fate],
    chosen: impl Fn(f64) -> bool,
) -> f64 {
    let mut sum = 0.0;
    let mut most = 0.0;
    for (request, fate) in requests.iter().zip(fates).filter(|(r, _)| chosen(r.at_ms)) {
        let class = &scenario.classes[request.class];
        sum += value(class, fate);
        most += class.worth.0;
    }
    if most > 0.0 { sum / most } else { 0.0 }
}

fn worst(scenario: &Scenario, requests: &[Request], fates: &[Fate]) -> f64 {
    let windows = (scenario.length_ms / WINDOW_MS) as u32;
    let of = |window: u32| {
        let from = f64::from(window) * WINDOW_MS;
        worth(scenario, requests, fates, |at| (from..from + WINDOW_MS).contains(&at))
    };
    (0..windows).map(of).fold(f64::INFINITY, f64::min)
}

fn print_class(policy: &str, class: &Class, fates: &[Fate]) {
    let on_time = fates.iter().filter(|fate| value(class, fate) == class.worth.0).count();
    let late = fates.iter().filter(|fate| value(class, fate) == class.worth.1).count();
    let refused = fates.iter().filter(|fate| !fate.whole && fate.refused > 0).count();
    let mut firsts: Vec<f64> = fates.iter().filter_map(|fate| fate.first_ms).collect();
    firsts.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (firsts.len() as f64 * share) as usize;
        firsts.get(index.min(firsts.len().saturating_sub(1))).copied().unwrap_or(0.0)
    };
    let worth: f64 = fates.iter().map(|fate| value(class, fate)).sum();
    println!(
        "{policy:<18} {:<6} {:>6} {on_time:>7} {late:>6} {refused:>7} {:>6} {:>8.0} {:>8.0} {:>6.3}",
        class.name,
        fates.len(),
        fates.len() - on_time - late - refused,
        at(0.5),
        at(0.99),
        worth / (fates.len() as f64 * class.worth.0)
    );
}
