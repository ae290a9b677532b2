//! A short soak test; `examples/soak` runs longer ones. Every seed that has ever failed stays in
//! the list.

use wasabi_stand::soak;

/// Seeds with their number of faults, each with the reason why it is in the list.
const SEEDS: &[(u64, usize, &str)] = &[
    (3, 8, "the first seed"),
    (10_000, 20, "the first seed with faults of several hosts"),
    (10_046, 20, "a fencing token was given out again after all hosts had forgotten a lost one"),
    (10_047, 20, "the same, where nobody checks tokens"),
    (3008, 20, "a withdrawn key was accepted after the store had lost its withdrawal"),
];

#[test]
fn injected_faults_violate_no_guarantee() -> anyhow::Result<()> {
    for (seed, steps, cause) in SEEDS {
        let outcome = soak::run(env!("CARGO_BIN_EXE_wasabirouter"), *seed, *steps)?;
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
