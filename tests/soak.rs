//! A short soak; `examples/soak` does longer ones. Each seed that ever failed stays here.

use wasabi_stand::soak;

/// Seeds with the cause of their failure.
const SEEDS: &[(u64, &str)] = &[(3, "the first seed")];
const STEPS: usize = 8;

#[test]
fn faults_from_outside_break_no_promise() -> anyhow::Result<()> {
    for (seed, cause) in SEEDS {
        let outcome = soak::run(env!("CARGO_BIN_EXE_wasabirouter"), *seed, STEPS)?;
        let trace = &outcome.trace;
        assert!(outcome.broken.is_empty(), "{seed} ({cause}): {:#?}\n{trace:#?}", outcome.broken);
        assert!(outcome.requests.1 > 0, "{seed}: nothing was served");
    }
    Ok(())
}
