//! A short soak test; `examples/soak` runs longer ones. Every seed that has ever failed stays in
//! the list.

use wasabi_stand::soak;

/// Seeds, each with the reason why it is in the list.
const SEEDS: &[(u64, &str)] = &[(3, "the first seed")];
const STEPS: usize = 8;

#[test]
fn injected_faults_violate_no_guarantee() -> anyhow::Result<()> {
    for (seed, cause) in SEEDS {
        let outcome = soak::run(env!("CARGO_BIN_EXE_wasabirouter"), *seed, STEPS)?;
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
