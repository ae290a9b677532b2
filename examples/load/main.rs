//! Load tests: `run WORKLOAD` compares placement policies on real host processes, `border` measures
//! the overhead of a host, and `decide SCENARIO` simulates placement alone, in virtual time.
//!
//! ```text
//! cargo run --release --example load -- run budjet-deadline --policy tiers --seed 1
//! cargo run --release --example load -- border --seed 1
//! cargo run --release --example load -- decide large --seed 1
//! ```
#![forbid(unsafe_code)]

mod border;
mod decide;
mod drive;
mod gateway;
mod plot;
mod report;
mod workload;

use anyhow::{Context as _, bail};
use wasabi_standin::rig::Programs;

const POLICIES: &[&str] = &["tiers", "fifo-round-robin", "fifo-least-in-flight", "strict"];
const USAGE: &str = "load run WORKLOAD [--policy NAME|all] [--seed N] | load border [--seed N] \
     | load decide SCENARIO [--policy NAME|all] [--seed N]";

fn main() -> anyhow::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let option = |name: &str| {
        let at = args.iter().position(|arg| arg == name)?;
        args.get(at + 1).cloned()
    };
    let seed: u64 = option("--seed").unwrap_or_else(|| "1".to_string()).parse()?;
    match args.first().map(String::as_str) {
        Some("run") => {
            let name = args.get(1).context(USAGE)?;
            let policy = option("--policy").unwrap_or_else(|| "all".to_string());
            run(name, &policy, seed)
        }
        Some("decide") => {
            let name = args.get(1).context(USAGE)?;
            let policy = option("--policy").unwrap_or_else(|| "all".to_string());
            let chosen = |known: &&str| policy == "all" || policy == **known;
            let policies: Vec<&str> =
                decide::POLICIES.iter().copied().filter(|known| chosen(known)).collect();
            decide::run(name, &policies, seed)
        }
        Some("border") => border::run(&programs()?, seed),
        _ => bail!(USAGE),
    }
}

fn run(name: &str, policy: &str, seed: u64) -> anyhow::Result<()> {
    let workload = workload::by_name(name, seed).context("no such workload")?;
    let policies: Vec<&str> = match policy {
        "all" => POLICIES.to_vec(),
        one => POLICIES.iter().copied().filter(|known| *known == one).collect(),
    };
    let mut results = Vec::new();
    for policy in policies {
        let outcome = drive::run(&programs()?, &workload, policy)?;
        let summary = report::summarize(&workload, policy, seed, &outcome);
        report::print(&workload, std::slice::from_ref(&summary));
        results.push(summary);
        plot::attainment(&workload, policy, seed, &outcome)?;
    }
    report::write(&workload, seed, &results)
}

/// Returns the programs, which cargo builds into the parent of the examples' directory.
fn programs() -> anyhow::Result<Programs> {
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .and_then(|directory| directory.parent())
        .context("the executable has no parent directory")?;
    let (router, ctl) = (directory.join("wasabirouter"), directory.join("wasabictl"));
    anyhow::ensure!(router.exists(), "build the programs first: cargo build --release");
    Ok(Programs { router, ctl })
}
