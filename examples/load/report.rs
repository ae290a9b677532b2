//! What a run comes to, as a table and as JSON.

use std::{collections::BTreeMap, fs, time::Duration};

use serde::Serialize;

use crate::{
    drive::{Outcome, Result},
    workload::{Class, Workload},
};

const FOLDER: &str = "target/load";

/// The figures of one run.
#[derive(Debug, Serialize)]
pub struct Summary {
    pub policy: String,
    pub seed: u64,
    pub classes: Vec<ClassSummary>,
    /// Tokens of attained requests, as a share of what the engines could generate; both while
    /// requests still arrived.
    pub goodput: f64,
    /// Tokens that reached callers, as a share of the same.
    pub delivered: f64,
    /// Tokens generated that reached no caller, as a share of those generated.
    pub wasted: f64,
    /// The least that a workspace got of its fair share, in any class.
    pub worst_workspace: f64,
    /// CPU of a host, as a share of a core.
    pub cpu_a_host: f64,
    /// The most requests that one engine had at once.
    pub peak_at_engine: usize,
}

/// The figures of one class.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    pub class: &'static str,
    pub requests: usize,
    /// The share of requests that were whole and within both targets.
    pub attained: f64,
    pub refused: usize,
    pub broken: usize,
    /// Whole answers whose first token was late.
    pub late: usize,
    /// Whole answers in time whose tokens came too slowly.
    pub slow: usize,
    pub first_token_p95_ms: u64,
    pub longest_wait_ms: u64,
}

/// Returns whether a request was whole and within its class's targets.
pub fn attained(class: &Class, result: &Result) -> bool {
    let in_time = result.first.is_some_and(|first| first <= class.first_token);
    result.complete && in_time && result.gap <= class.inter_token
}

/// Sums a run up.
pub fn sum_up(workload: &Workload, policy: &str, seed: u64, outcome: &Outcome) -> Summary {
    let class_of = |result: &Result| workload.arrivals[result.arrival].class;
    let classes = workload.classes.iter().enumerate().map(|(i, class)| {
        let results: Vec<&Result> =
            outcome.results.iter().filter(|result| class_of(result) == i).collect();
        class_summary(class, &results)
    });
    let good = outcome.results.iter().filter(|r| attained(&workload.classes[class_of(r)], r));
    let good: u64 = good.map(|result| result.tokens_in_time).sum();
    let delivered: u64 = outcome.results.iter().map(|result| result.tokens).sum();
    let possible = workload.capacity() * workload.length.as_secs_f64();
    let in_time: u64 = outcome.results.iter().map(|result| result.tokens_in_time).sum();
    let wasted = outcome.generated.saturating_sub(delivered) as f64;
    let seconds = outcome.took.as_secs_f64() * crate::workload::HOSTS as f64;
    Summary {
        policy: policy.to_string(),
        seed,
        classes: classes.collect(),
        goodput: good as f64 / possible,
        delivered: in_time as f64 / possible,
        wasted: wasted / outcome.generated.max(1) as f64,
        worst_workspace: worst_workspace(workload, outcome),
        cpu_a_host: outcome.cpu / seconds,
        peak_at_engine: outcome.peak,
    }
}

fn class_summary(class: &Class, results: &[&Result]) -> ClassSummary {
    let mut firsts: Vec<Duration> = results.iter().filter_map(|result| result.first).collect();
    firsts.sort();
    let p95 = firsts.get(firsts.len() * 95 / 100).copied().unwrap_or_default();
    let count = |test: &dyn Fn(&Result) -> bool| results.iter().filter(|r| test(r)).count();
    let refused = count(&|result| matches!(result.code, Some(1201 | 1202)));
    ClassSummary {
        class: class.name,
        requests: results.len(),
        attained: count(&|r| attained(class, r)) as f64 / results.len().max(1) as f64,
        refused,
        late: count(&|r| r.complete && r.first.is_some_and(|first| first > class.first_token)),
        slow: count(&|r| {
            let in_time = r.first.is_some_and(|first| first <= class.first_token);
            r.complete && in_time && r.gap > class.inter_token
        }),
        broken: count(&|result| !result.complete) - refused,
        first_token_p95_ms: p95.as_millis() as u64,
        longest_wait_ms: firsts.last().copied().unwrap_or_default().as_millis() as u64,
    }
}

/// The fair share of a workspace in a class is what max-min fairness gives it of the tokens that
/// the class got; one that asks for less than its share is due what it asks.
fn worst_workspace(workload: &Workload, outcome: &Outcome) -> f64 {
    let mut worst: f64 = 1.0;
    for class in 0..workload.classes.len() {
        let mut asked: BTreeMap<usize, f64> = BTreeMap::new();
        let mut got: BTreeMap<usize, f64> = BTreeMap::new();
        for result in &outcome.results {
            let arrival = &workload.arrivals[result.arrival];
            if arrival.class == class {
                *asked.entry(arrival.workspace).or_default() += arrival.tokens as f64;
                *got.entry(arrival.workspace).or_default() += result.tokens as f64;
            }
        }
        let shares = max_min(&asked, got.values().sum());
        for (workspace, share) in shares.iter().filter(|(_, share)| **share > 0.0) {
            worst = worst.min(got[workspace] / share);
        }
    }
    worst
}

fn max_min(asked: &BTreeMap<usize, f64>, total: f64) -> BTreeMap<usize, f64> {
    let mut shares = BTreeMap::new();
    let mut left = total;
    let mut order: Vec<(&usize, &f64)> = asked.iter().collect();
    order.sort_by(|a, b| a.1.total_cmp(b.1));
    for (i, (workspace, wish)) in order.iter().enumerate() {
        let share = wish.min(left / (order.len() - i) as f64);
        left -= share;
        shares.insert(**workspace, share);
    }
    shares
}

/// Prints the table of a workload.
pub fn print(workload: &Workload, summaries: &[Summary]) {
    println!("workload {} of {} requests", workload.name, workload.arrivals.len());
    println!(
        "| policy | class | requests | attained | refused | broken | late | slow | first token p95 ms \
         | longest wait ms | goodput | delivered | wasted | worst workspace | CPU a host | peak at engine |"
    );
    println!(
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
    );
    for summary in summaries {
        for class in &summary.classes {
            println!(
                "| {} | {} | {} | {:.1}% | {} | {} | {} | {} | {} | {} | {:.1}% | {:.1}% | {:.1}% | {:.0}% | \
                 {:.1}% | {} |",
                summary.policy,
                class.class,
                class.requests,
                100.0 * class.attained,
                class.refused,
                class.broken,
                class.late,
                class.slow,
                class.first_token_p95_ms,
                class.longest_wait_ms,
                100.0 * summary.goodput,
                100.0 * summary.delivered,
                100.0 * summary.wasted,
                100.0 * summary.worst_workspace,
                100.0 * summary.cpu_a_host,
                summary.peak_at_engine,
            );
        }
    }
}

/// Writes the figures as JSON.
pub fn write(workload: &Workload, seed: u64, summaries: &[Summary]) -> anyhow::Result<()> {
    fs::create_dir_all(FOLDER)?;
    let path = format!("{FOLDER}/{}-{seed}.json", workload.name);
    fs::write(path, serde_json::to_string_pretty(summaries)?)?;
    Ok(())
}
