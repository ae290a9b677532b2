//! A short run of mixed faults; `examples/chaos` runs longer ones.

mod common;

use common::programs;
use wasabi_standin::chaos;

#[test]
fn mixed_faults_violate_no_guarantee() -> anyhow::Result<()> {
    let outcome = chaos::run(programs(), 3, 4)?;
    assert!(outcome.violations.is_empty(), "{:#?}\nafter {:#?}", outcome.violations, outcome.trace);
    Ok(())
}
