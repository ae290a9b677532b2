//! Routes and workspaces that keep to regions.

use std::collections::BTreeSet;

use serde_json::json;
use wasabi_stand::{
    caller::Request,
    gateway::{self, Gateway},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");

/// Guards against a request that reaches a server outside the regions of its route or its workspace, of which both
/// bind.
#[test]
fn a_request_runs_only_in_the_regions_of_its_route_and_its_workspace() -> anyhow::Result<()> {
    let mut rig = Rig::start(PROGRAM)?;
    rig.add_server("p3", "app", false)?;
    for (server, domain) in [("p2", "d2"), ("p3", "d3")] {
        let mut entry = rig.store.get("servers", server).expect("it is listed");
        entry["zone"] = json!(domain);
        rig.store.put("servers", server, entry);
    }
    // The host is in r1, so its servers are chosen wherever they may run a request. Reads keep to r2 and r4, the
    // first workspace to r2 and r3; the second one has no regions.
    rig.configure(2, |config| {
        config["routes"][3]["allowed_regions"] = json!(["r2", "r4"]);
        config["tenants"][0]["allowed_regions"] = json!(["r2", "r3"]);
    });
    let addresses = gateway::pick_ports()?;
    let mut settings = gateway::settings("g1", &addresses, rig.store_address, rig.duties_address);
    settings["regions"] = json!({"d1": "r1", "d2": "r2", "d3": "r3"});
    let host = Gateway::start(PROGRAM.as_ref(), addresses, &settings)?;
    host.wait_ready()?;
    let used = |method: &str, path: &str, key: &str| -> anyhow::Result<BTreeSet<String>> {
        let ids: Vec<String> = (0..20).map(|number| format!("{path}{key}{number}")).collect();
        for id in &ids {
            let mut request = Request::new(method, path, id);
            request.key = Some(key.to_string());
            let response = request.send(host.addresses.callers)?;
            anyhow::ensure!(response.status == 200, "{id}: {response:?}");
        }
        let ran = |id: &String| {
            let servers = rig.servers.iter().map(|(server, _)| server);
            servers
                .filter(|server| server.arrivals().iter().any(|arrival| arrival.id == *id))
                .map(|server| server.id.clone())
                .collect::<Vec<_>>()
        };
        Ok(ids.iter().flat_map(ran).collect())
    };
    let names = |names: &[&str]| -> BTreeSet<String> {
        names.iter().map(|name| name.to_string()).collect()
    };
    assert_eq!(used("GET", "/read/x", "k1")?, names(&["p2"]), "route and workspace");
    assert_eq!(used("GET", "/read/y", "k2")?, names(&["p2"]), "the route alone");
    let by_workspace = used("POST", "/write/x", "k1")?;
    assert!(by_workspace.is_subset(&names(&["p2", "p3"])), "the workspace alone: {by_workspace:?}");
    assert!(used("POST", "/write/y", "k2")?.contains("p1"), "neither");
    Ok(())
}
