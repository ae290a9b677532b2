//! Bodies within the limit of the configuration, many at a time: the process keeps to its memory and loses nothing.

use std::thread;

use serde_json::json;
use wasabi_stand::{
    caller::Request,
    gateway::{self, Gateway},
    rig::Rig,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_wasabirouter");
const BODY_BYTES: usize = 4_000_000;
/// The memory of the smaller hosts.
const MEMORY_MB: usize = 110;
/// What the process may take at most.
const MAX_PEAK_BYTES: usize = 100_000_000;

#[test]
fn bodies_within_the_limit_do_not_take_more_than_the_memory_of_the_host() -> anyhow::Result<()> {
    // Callers at the same time, and how many of them are served at least.
    for (callers, served_at_least) in [(24, 8), (60, 20), (300, 20)] {
        let rig = Rig::start(PROGRAM)?;
        rig.configure(2, |config| config["limits"]["max_body_bytes"] = json!(4_194_304));
        let addresses = gateway::pick_ports()?;
        let mut settings =
            gateway::settings("g1", &addresses, rig.store_address, rig.duties_address);
        settings["memory_mb"] = json!(MEMORY_MB);
        let mut gateway = Gateway::start(PROGRAM.as_ref(), addresses, &settings)?;
        gateway.wait_ready()?;
        let call = |number: usize| {
            let to = gateway.addresses.callers;
            let mut request = Request::new("POST", "/write/x", &format!("b{number}"));
            request.body = vec![b'x'; BODY_BYTES];
            thread::spawn(move || request.send(to).map(|response| response.status).ok())
        };
        let calls: Vec<_> = (0..callers).map(call).collect();
        let mut served = 0;
        for (number, call) in calls.into_iter().enumerate() {
            let (status, runs) =
                (call.join().expect("no panic"), rig.count_runs(&format!("b{number}")));
            match status {
                Some(200) => assert_eq!(runs, 1, "b{number}"),
                // A response to a request whose body is not read may be lost with its connection.
                Some(503) | None => assert_eq!(runs, 0, "b{number}"),
                Some(other) => panic!("b{number}: {other}"),
            }
            served += usize::from(status == Some(200));
        }
        let peak = gateway.peak_resident_bytes()?;
        assert!(peak < MAX_PEAK_BYTES, "{callers} callers: {peak} bytes, {served} served");
        assert!(served >= served_at_least, "only {served} of {callers} were served");
        assert_eq!(gateway.exit_status()?, None);
    }
    Ok(())
}
