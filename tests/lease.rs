//! The release of a lease beside a renewal or a take-over of the same process that is in flight.

use std::{
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use parking_lot::Mutex;
use wasabi_core::{
    errors::Result,
    io::{self, Condition, Object, Store, WatchResult},
    time::Manual,
    units::Version,
};
use wasabi_lease::{
    failure_detector::{NeverDetects, Process},
    holder::{self, Lease, Options, Record},
};
use wasabi_standin::faulty_store::{CallResult, FaultyStore};

/// How long a release may take to return while a step is in flight, if it does not wait for it.
const RELEASE_HEAD_START: Duration = Duration::from_millis(200);

type Hook = Box<dyn FnOnce(&FaultyStore) + Send>;

/// A store that runs a hook after its next read, or before its next write.
#[derive(Default)]
struct HookedStore {
    inner: FaultyStore,
    after_get: Mutex<Option<Hook>>,
    before_put: Mutex<Option<Hook>>,
}

impl Store for HookedStore {
    fn get(&self, key: &str) -> Result<Option<Object>> {
        let found = self.inner.get(key);
        if let Some(hook) = self.after_get.lock().take() {
            hook(&self.inner);
        }
        found
    }

    fn put(&self, key: &str, value: &str, condition: Condition) -> Result<Version> {
        let hook = self.before_put.lock().take();
        if let Some(hook) = hook {
            hook(&self.inner);
        }
        self.inner.put(key, value, condition)
    }

    fn delete(&self, key: &str, version: Version) -> Result<()> {
        self.inner.delete(key, version)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Object>> {
        self.inner.list(prefix, after, limit)
    }

    fn watch(&self, prefix: &str, since: Version, wait: Duration) -> Result<WatchResult> {
        self.inner.watch(prefix, since, wait)
    }
}

fn lease(store: &Arc<HookedStore>) -> anyhow::Result<Lease> {
    let me = Process { incarnation: "host-0:1".parse()?, peer: "127.0.0.1:1".parse()? };
    Ok(Lease::new(
        store.clone(),
        Arc::new(Manual::default()),
        Arc::new(NeverDetects),
        "orders".parse()?,
        me,
        Options::default(),
    ))
}

fn record(store: &HookedStore) -> anyhow::Result<Record> {
    let object = store.inner.objects.get(&holder::key(&"orders".parse()?));
    Ok(io::parse(&object.expect("the lease was taken"))?)
}

#[test]
fn a_release_wins_over_a_renewal_that_takes_effect_late() -> anyhow::Result<()> {
    let store = Arc::new(HookedStore::default());
    let lease = lease(&store)?;
    lease.step()?;
    store.inner.prescribe([CallResult::Success, CallResult::Delayed, CallResult::RequestLost]);
    assert!(lease.step().is_err(), "the renewal has no answer");
    *store.after_get.lock() = Some(Box::new(FaultyStore::apply_delayed_writes));
    lease.release()?;
    assert_eq!(record(&store)?.holder, None);
    Ok(())
}

#[test]
fn a_release_whose_answer_is_lost_is_confirmed() -> anyhow::Result<()> {
    let store = Arc::new(HookedStore::default());
    let lease = lease(&store)?;
    lease.step()?;
    store.inner.prescribe([CallResult::Success, CallResult::ResponseLost]);
    lease.release()?;
    assert_eq!(record(&store)?.holder, None);
    Ok(())
}

#[test]
fn a_release_waits_for_a_step_in_flight() -> anyhow::Result<()> {
    for held_before in [false, true] {
        let store = Arc::new(HookedStore::default());
        let lease = Arc::new(lease(&store)?);
        if held_before {
            lease.step()?;
        }
        let (released, release) = mpsc::channel();
        let releasing = lease.clone();
        *store.before_put.lock() = Some(Box::new(move |_| {
            let (done, waiting) = mpsc::channel();
            thread::spawn(move || {
                // The receivers are gone only if the test has failed.
                let _ = released.send(releasing.release());
                let _ = done.send(());
            });
            let _ = waiting.recv_timeout(RELEASE_HEAD_START);
        }));
        lease.step()?;
        release.recv()??;
        assert_eq!(record(&store)?.holder, None, "held before: {held_before}");
    }
    Ok(())
}
