//! A short soak test; `examples/soak` runs longer ones. Every seed that has ever failed stays in
//! the list.

use wasabi_stand::{
    gateway::older_program,
    soak::{self, Programs},
};

/// Seeds with their number of faults, each with the reason why it is in the list.
const SEEDS: &[(u64, usize, &str)] = &[
    (3, 8, "the first seed"),
    (10_000, 20, "the first seed with faults of several hosts"),
    (10_046, 20, "a fencing token was given out again after all hosts had forgotten a lost one"),
    (10_047, 20, "the same, where nobody checks tokens"),
    (3008, 20, "a withdrawn key was accepted after the store had lost its withdrawal"),
];

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// The seed and the number of faults of a run with hosts of two builds.
const MIXED: (u64, usize) = (20_000, 30);

#[test]
fn injected_faults_violate_no_guarantee() -> anyhow::Result<()> {
    let programs = Programs { today: PROGRAM, older: None };
    for (seed, steps, cause) in SEEDS {
        let outcome = soak::run(programs, *seed, *steps)?;
        let trace = &outcome.trace;
        assert!(
            outcome.violations.is_empty(),
            "seed {seed} ({cause}): {:#?}\n{trace:#?}",
            outcome.violations
        );
        assert!(outcome.requests.1 > 0, "seed {seed}: no request was served");
    }
    Ok(())
}

#[test]
fn beside_the_older_build_injected_faults_violate_no_guarantee() -> anyhow::Result<()> {
    let older = older_program(PROGRAM)?;
    let (seed, steps) = MIXED;
    let outcome = soak::run(Programs { today: PROGRAM, older: Some(&older) }, seed, steps)?;
    let trace = &outcome.trace;
    assert!(outcome.violations.is_empty(), "seed {seed}: {:#?}\n{trace:#?}", outcome.violations);
    let (today, older) = outcome.starts;
    assert!(today > 3 && older > 3, "{today} starts of today's build, {older} of the older one");
    assert!(outcome.requests.1 > 0, "no request was served");
    Ok(())
}
