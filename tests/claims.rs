//! Claims and conditional writes while the store fails.

use std::sync::Arc;

use wasabi_core::{
    errors::Code,
    io::{self, Condition},
    time::Manual,
    units::WorkspaceId,
};
use wasabi_lease::failure_detector::{NeverDetects, Process};
use wasabi_once::{
    claims::{ClaimResult, Claims},
    record::{Progress, Record, StoredResponse},
};
use wasabi_standin::faulty_store::{CallResult, FaultyStore};

/// More outcomes than are kept with their responses while the store is away.
const OUTCOMES: usize = 1_001;

fn claims(store: &Arc<FaultyStore>) -> anyhow::Result<Claims> {
    let me = Process { incarnation: "host-0:1".parse()?, peer: "127.0.0.1:1".parse()? };
    Ok(Claims::new(store.clone(), Arc::new(Manual::default()), Arc::new(NeverDetects), me))
}

fn begin(claims: &Claims, key: &str) -> anyhow::Result<wasabi_once::claims::Claim> {
    let workspace: WorkspaceId = "lab".parse()?;
    match claims.claim(&workspace, key, b"request")? {
        ClaimResult::Run(claim) => Ok(claim),
        ClaimResult::Stored(_) => anyhow::bail!("{key} was claimed before"),
    }
}

#[test]
fn no_outcome_is_forgotten_while_the_store_is_away() -> anyhow::Result<()> {
    let store = Arc::new(FaultyStore::default());
    let claims = claims(&store)?;
    let begun = (0..OUTCOMES)
        .map(|number| begin(&claims, &format!("k{number}")))
        .collect::<anyhow::Result<Vec<_>>>()?;
    store.prescribe(std::iter::repeat_n(CallResult::Busy, OUTCOMES));
    for claim in begun {
        claims.record_ran(claim, StoredResponse::new(200, None, b"done"));
    }
    claims.step()?;
    for object in store.objects.list("once/", "", OUTCOMES) {
        let record: Record = io::parse(&object)?;
        let ran = matches!(record.progress, Progress::Ran(_) | Progress::RanTooLarge);
        assert!(ran, "{} is {:?}", object.key, record.progress);
    }
    Ok(())
}

/// The write may have taken effect, whatever the read that was to confirm it says.
#[test]
fn a_failed_confirming_read_leaves_the_write_unknown() {
    for read in [CallResult::Busy, CallResult::RequestLost] {
        let store = FaultyStore::default();
        store.prescribe([CallResult::ResponseLost, read]);
        let written = io::put_confirmed(&store, "k", "1", Condition::Absent, |_| true);
        assert_eq!(written.map_err(|e| e.code), Err(Code::StoreUnavailable), "{read:?}");
    }
}

#[test]
fn a_claim_without_a_confirmation_is_cleared() -> anyhow::Result<()> {
    let store = Arc::new(FaultyStore::default());
    let claims = claims(&store)?;
    store.prescribe([CallResult::ResponseLost, CallResult::Busy]);
    assert!(begin(&claims, "k").is_err());
    claims.step()?;
    let objects = store.objects.list("once/", "", 10);
    let record: Record = io::parse(objects.first().expect("the claim took effect"))?;
    assert_eq!(record.progress, Progress::NotRun);
    Ok(())
}
