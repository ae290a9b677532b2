//! A short run of the adversary; `examples/adversary` runs longer ones.

use wasabi_stand::soak::{Programs, adversary};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
/// A minute of seeds.
const SEEDS: std::ops::Range<u64> = 1..6;

#[test]
fn moves_that_the_pages_allow_break_no_promise() -> anyhow::Result<()> {
    let programs = Programs { today: PROGRAM, older: None };
    for seed in SEEDS {
        let moves = adversary::draw(seed);
        let outcome = adversary::play(programs, seed, &moves)?;
        let violations = &outcome.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}\n{:#?}", outcome.trace);
        assert!(outcome.requests.1 > 0, "seed {seed}: no request was served");
    }
    Ok(())
}
