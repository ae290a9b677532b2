//! What is played: hosts, engines, and the requests that callers make.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use rand_distr::{Distribution as _, Exp, LogNormal, Zipf};
use wasabi_core::call::{Part, Prompt};
use wasabi_standin::batch::Shape;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// The first event is on time within this, in milliseconds.
    pub target_ms: f64,
    /// The longest pause between events that is on time, in milliseconds.
    pub gap_ms: f64,
    /// When the caller gives up, in milliseconds.
    pub timeout_ms: f64,
    /// What a request on time is worth, and a late one.
    pub worth: (f64, f64),
    /// 0 is the highest.
    pub rank: u8,
    /// Tokens of the three parts of the prompt: for all, for a session, its own.
    pub parts: [f64; 3],
    /// How many different first parts and sessions there are.
    pub things: [u64; 2],
    /// Mean tokens of the answer, and the spread of their logarithm.
    pub output: (f64, f64),
    /// Bursts: from and to, in milliseconds, and how many times the rate.
    pub bursts: &'static [(f64, f64, f64)],
}

/// A play.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub hosts: usize,
    pub domains: usize,
    /// Engines a domain.
    pub engines: usize,
    pub shape: Shape,
    /// Each engine takes this many times as long, by turns.
    pub slowness: &'static [f64],
    pub classes: Vec<Class>,
    pub length_ms: f64,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub at_ms: f64,
    /// The host that the caller reaches.
    pub host: usize,
    pub class: usize,
    pub prompt: Prompt,
    pub output: u32,
}

const SHAPE: Shape = Shape {
    slots: 64,
    memory: 471_098,
    tokens_per_ms: 56.9,
    chunk: 2_048,
    step_ms: 3.09,
    step_ms_per_running: 0.102,
    pairs_ms_per_million: 0.165,
    first_ms: 13.0,
    event_tokens: 7,
    slowness: 1.0,
};

/// Long prompts of budget breakdowns.
const LONG: Class = Class {
    name: "long",
    rate: 252.0,
    target_ms: 600.0,
    gap_ms: 500.0,
    timeout_ms: 5_000.0,
    worth: (2.1, 1.0),
    rank: 1,
    parts: [2_520.0, 3_780.0, 2_890.0],
    things: [4, 2_084],
    output: (52.0, 1.4),
    bursts: &[(500.0, 9_500.0, 2.2), (17_500.0, 19_500.0, 2.0)],
};

/// Short interactive streams.
const SHORT: Class = Class {
    name: "short",
    rate: 133.0,
    target_ms: 300.0,
    gap_ms: 300.0,
    timeout_ms: 12_000.0,
    worth: (2.8, 0.45),
    rank: 0,
    parts: [119.0, 79.0, 628.0],
    things: [80, 635],
    output: (291.0, 0.69),
    bursts: &[(11_000.0, 16_000.0, 1.9)],
};

/// Returns the scenario with this name.
pub fn by_name(name: &str) -> Option<Scenario> {
    let large = Scenario {
        name: "large",
        hosts: 74,
        domains: 3,
        engines: 27,
        shape: SHAPE,
        slowness: &[1.0, 1.0, 1.3],
        classes: vec![LONG, SHORT],
        length_ms: 30_000.0,
    };
    match name {
        "large" => Some(large),
        "large-calm" => {
            let calm = |class: &Class| Class { bursts: &[], ..*class };
            Some(Scenario {
                name: "large-calm",
                classes: large.classes.iter().map(calm).collect(),
                ..large
            })
        }
        "small" => Some(Scenario {
            name: "small",
            hosts: 7,
            engines: 8,
            shape: Shape { event_tokens: 5, ..SHAPE },
            classes: vec![
                Class { rate: 65.0, target_ms: 500.0, gap_ms: 400.0, things: [4, 625], ..LONG },
                Class { rate: 44.0, gap_ms: 250.0, things: [40, 190], ..SHORT },
            ],
            ..large
        }),
        "four-domains" => Some(Scenario {
            name: "four-domains",
            hosts: 89,
            domains: 4,
            engines: 46,
            shape: Shape { slots: 24, memory: 264_004, event_tokens: 8, ..SHAPE },
            slowness: &[1.0],
            classes: vec![
                Class {
                    rate: 517.0,
                    target_ms: 500.0,
                    timeout_ms: 4_000.0,
                    worth: (2.1, 0.21),
                    things: [4, 1_897],
                    ..LONG
                },
                Class { rate: 200.0, worth: (2.8, 0.084), things: [80, 954], ..SHORT },
            ],
            ..large
        }),
        _ => None,
    }
}

/// Draws the requests of a play, in the order of their times.
pub fn requests(scenario: &Scenario, seed: u64) -> anyhow::Result<Vec<Request>> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (number, class) in scenario.classes.iter().enumerate() {
        let firsts = sizes(&mut random, class.things[0], class.parts[0], 0.4)?;
        let sessions = sizes(&mut random, class.things[1], class.parts[1], 0.7)?;
        let session = Zipf::new(class.things[1] as f64, 0.3)?;
        let mut at_ms = 0.0;
        while at_ms < scenario.length_ms {
            let factor = class.bursts.iter().find(|(from, to, _)| (*from..*to).contains(&at_ms));
            let rate = class.rate * factor.map_or(1.0, |(_, _, factor)| *factor);
            at_ms += Exp::new(rate / 1e3)?.sample(&mut random);
            let own = log_normal(&mut random, class.parts[2], 1.0)?.clamp(16.0, 39_600.0) as u32;
            let session = session.sample(&mut random) as u64;
            let first = session % class.things[0];
            let id = |kind: u64, thing: u64| (number as u64) << 56 | kind << 48 | thing;
            let parts = vec![
                Part { id: id(1, first), tokens: firsts[first as usize] },
                Part { id: id(2, session), tokens: sessions[session as usize - 1] },
                Part { id: id(3, requests.len() as u64), tokens: own },
            ];
            let output = log_normal(&mut random, class.output.0, class.output.1)?;
            let output = output.clamp(8.0, class.output.0 * 4.0) as u32;
            let tokens = parts.iter().map(|part| part.tokens).sum();
            let host = random.random_range(0..scenario.hosts);
            let prompt = Prompt { tokens, output, parts };
            requests.push(Request { at_ms, host, class: number, prompt, output });
        }
    }
    requests.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    Ok(requests)
}

fn sizes(random: &mut StdRng, count: u64, mean: f64, spread: f64) -> anyhow::Result<Vec<u32>> {
    (0..count)
        .map(|_| Ok(log_normal(random, mean, spread)?.clamp(16.0, mean * 3.0) as u32))
        .collect()
}

fn log_normal(random: &mut StdRng, mean: f64, spread: f64) -> anyhow::Result<f64> {
    Ok(LogNormal::new(mean.ln() - spread * spread / 2.0, spread)?.sample(random))
}
