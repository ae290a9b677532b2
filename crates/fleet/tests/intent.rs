//! Tests of what becomes of accepted orders.

use std::time::Duration;

use wasabi_core::{
    io::{Action, Order, Phase, ProvisionedServer},
    note::Server,
    units::Epoch,
};
use wasabi_fleet::intent::{EFFECT_TIMEOUT, Progress, Record};

fn record(action: Action) -> anyhow::Result<Record> {
    let order = Order {
        intent: "i1".to_string(),
        epoch: Epoch(1),
        holder: "host-0:1".parse()?,
        pool: "costing".parse()?,
        action,
    };
    Ok(Record { order, progress: Progress::Taken })
}

fn rented(intent: &str) -> anyhow::Result<ProvisionedServer> {
    let server = Server {
        name: "e1".parse()?,
        address: "127.0.0.1:1".parse()?,
        build: Default::default(),
        domain: "d1".parse()?,
        reclaimable: false,
        slots: 4,
    };
    let (pool, intent) = ("costing".parse()?, Some(intent.to_string()));
    Ok(ProvisionedServer { server, pool, phase: Phase::Live, intent })
}

#[test]
fn an_order_whose_effect_shows_late_is_done() -> anyhow::Result<()> {
    let start = record(Action::Start { domain: "d1".parse()?, reclaimable: false })?;
    let stop = record(Action::Stop { server: "e1".parse()? })?;
    for waited in [Duration::ZERO, EFFECT_TIMEOUT] {
        assert_eq!(start.outcome(&[rented("i1")?], waited), Some(Progress::Done), "{waited:?}");
        assert_eq!(stop.outcome(&[], waited), Some(Progress::Done), "{waited:?}");
    }
    Ok(())
}

#[test]
fn an_order_without_an_effect_is_abandoned_in_the_end() -> anyhow::Result<()> {
    let start = record(Action::Start { domain: "d1".parse()?, reclaimable: false })?;
    let stop = record(Action::Stop { server: "e1".parse()? })?;
    let other = [rented("i2")?];
    for record in [start, stop] {
        assert_eq!(record.outcome(&other, EFFECT_TIMEOUT / 2), None);
        assert_eq!(record.outcome(&other, EFFECT_TIMEOUT), Some(Progress::Abandoned));
    }
    Ok(())
}
