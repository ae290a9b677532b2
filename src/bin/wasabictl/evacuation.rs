//! Requests and ends the evacuation of a failure domain in the store of the platform.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context as _;
use serde_json::json;
use tokio::{runtime, task::LocalSet};
use wasabi_core::{
    errors::{Error, Result, internal, unavailable},
    objects::MetadataStore as _,
    units::Domain,
};
use wasabi_platform::objects::StoreClient;

use crate::output::Failure;

/// The store answers within milliseconds; callers of a domain wait for the operator's next step.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests the evacuation of `domain`, or ends it if `active` is false, and prints the evacuations that are
/// then in force.
pub fn run(store: SocketAddr, domain: &str, active: bool, json: bool) -> Result<(), Failure> {
    let domain: Domain = domain.parse().map_err(|e: Error| Failure::Arguments(e.to_string()))?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("no runtime")
        .map_err(|e| internal(e.to_string()))?;
    let calls = async {
        let client = StoreClient::new(store);
        client.set_evacuation(&domain, active).await?;
        client.evacuations().await
    };
    let limited = async { tokio::time::timeout(CALL_TIMEOUT, calls).await };
    let evacuated = runtime
        .block_on(LocalSet::new().run_until(limited))
        .map_err(|_| unavailable("the store did not answer"))??;
    if json {
        println!("{}", json!({"evacuated": evacuated}));
    } else if evacuated.is_empty() {
        println!("no domain is evacuated");
    } else {
        evacuated.iter().for_each(|domain| println!("evacuated: {domain}"));
    }
    Ok(())
}
