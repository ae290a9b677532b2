//! Learned speed of engines, on engines that read prompts one after another and generate in steps.

use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use wasabi_core::{
    call::{Load, Part, Prompt},
    catalog::Engine,
    member::{Member, Phase},
    units::Tokens,
};
use wasabi_policy::{
    balancer::{Balancer, End, Placement, PlacementRequest},
    engine_speed::{EventGap, Speed},
};

const ENGINE: Engine = Engine { slots: 64, memory: Tokens(3_000_000), event_tokens: 6 };
const SECOND: Duration = Duration::from_secs(1);
/// Overheads outside the engine, as `server_state::FIRST_EVENT_OVERHEAD_MS`.
const OVERHEAD_MS: f64 = 18.0;
const TARGET_MS: f64 = 425.0;

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}

fn member(number: usize) -> Member {
    Member {
        id: format!("s{number}").parse().expect("a name"),
        born_ms: 1,
        service: "llm".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d1".parse().expect("a name"),
        slots: ENGINE.slots,
        build: Default::default(),
        phase: Phase::Ready,
        reclaimable: false,
    }
}

/// Prompts of one kind, sent to one host every so often, and the engines that serve them.
struct Site {
    balancer: Balancer,
    now: Instant,
    /// How many times longer than typical each engine takes, for prefill and steps.
    slowness: Vec<f64>,
    /// Base and increment per running request of the steps, in milliseconds, at slowness 1.
    step: (f64, f64),
    /// Share of the gaps that contain a prompt that this host does not know of.
    unknown_prefill: f64,
    /// How long a stream lasts after its first event.
    duration: Duration,
    busy_until: Vec<Instant>,
    /// What is yet to happen: the first event or the gaps of a request, or its end.
    events: Vec<(Instant, Placement, Happening)>,
    random: StdRng,
    sent: u64,
    /// First events on time, late ones, and refusals, since they were last taken.
    outcomes: (u32, u32, u32),
}

#[derive(Clone, Copy, PartialEq)]
enum Happening {
    First,
    Gaps,
    End,
}

impl Site {
    fn new(slowness: &[f64]) -> Self {
        let now = Instant::now();
        let mut balancer = Balancer::new("d1".parse().expect("a name"));
        balancer.set_learns_speed(true);
        let members: Vec<Member> = (0..slowness.len()).map(member).collect();
        balancer.set_servers(now, Some(ENGINE), &members);
        Self {
            balancer,
            now,
            slowness: slowness.to_vec(),
            step: (3.09, 0.102),
            unknown_prefill: 0.1,
            duration: SECOND / 2,
            busy_until: vec![now; slowness.len()],
            events: Vec::new(),
            random: StdRng::seed_from_u64(7),
            sent: 0,
            outcomes: (0, 0, 0),
        }
    }

    /// Lets `seconds` pass with a prompt of `tokens` every `interval`.
    fn run(&mut self, seconds: u32, interval: Duration, tokens: u32) {
        let end = self.now + SECOND * seconds;
        while self.now < end {
            self.send(tokens);
            self.now += interval;
            let now = self.now;
            let (mut due, later) =
                std::mem::take(&mut self.events).into_iter().partition(|(at, _, _)| *at <= now);
            self.events = later;
            let due: &mut Vec<_> = &mut due;
            due.sort_by_key(|(at, _, _)| *at);
            due.iter().for_each(|(at, place, happening)| self.handle(*at, place, *happening));
        }
    }

    fn send(&mut self, tokens: u32) {
        self.sent += 1;
        let parts = vec![Part { id: self.sent, tokens }];
        let prompt = Prompt { tokens, output: 60, parts };
        let ask = PlacementRequest {
            prompt: Some(&prompt),
            max_wait: ms(TARGET_MS),
            target_gap: None,
            urgency: 3,
            build: None,
            excluded: &[],
            avoid: &[],
            refused: &[],
        };
        let Ok(place) = self.balancer.place(self.now, &ask) else {
            self.outcomes.2 += 1;
            return;
        };
        let index = index(&place);
        let noise = self.random.random_range(0.9..1.1);
        let prefill_ms = place.prefill_ms / place.speed.prefill * self.slowness[index] * noise;
        let read = self.busy_until[index].max(self.now) + ms(prefill_ms);
        self.busy_until[index] = read;
        let first = read + ms(OVERHEAD_MS + self.random.random_range(-3.0..3.0));
        self.events.push((first, place.clone(), Happening::First));
        for batch in 1..4 {
            self.events.push((first + self.duration / 4 * batch, place.clone(), Happening::Gaps));
        }
        self.events.push((first + self.duration, place, Happening::End));
    }

    fn handle(&mut self, at: Instant, place: &Placement, happening: Happening) {
        match happening {
            Happening::First => {
                let in_time = at.saturating_duration_since(place.since) <= ms(TARGET_MS);
                self.outcomes.0 += u32::from(in_time);
                self.outcomes.1 += u32::from(!in_time);
                self.balancer.record_first_output(at, place);
            }
            Happening::Gaps => {
                let running = self.running(index(place));
                let step_ms = (self.step.0 + self.step.1 * running) * self.slowness[index(place)];
                let gaps: Vec<EventGap> = (0..4)
                    .map(|_| {
                        let unknown = self.random.random::<f64>() < self.unknown_prefill;
                        let extra = if unknown { 120.0 } else { 0.0 };
                        let jitter = self.random.random_range(-2.0..2.0);
                        let gap = step_ms * f64::from(ENGINE.event_tokens) + extra + jitter;
                        EventGap { from: at - ms(gap), to: at }
                    })
                    .collect();
                self.balancer.record_gaps(at, place, &gaps);
            }
            Happening::End => self.balancer.end(at, place, End::Served),
        }
    }

    fn running(&self, index: usize) -> f64 {
        let view = self.balancer.view(self.now);
        let id = member(index).id;
        view.iter().find(|row| row.0 == id).map_or(0.0, |row| f64::from(row.1))
    }

    fn speed(&self, index: usize) -> Speed {
        let id = member(index).id;
        let speeds = self.balancer.speeds(self.now);
        speeds.into_iter().find(|(server, _)| *server == id).expect("a server").1
    }

    /// Returns the expected time of a step, by the service's curve and the engine's factor.
    fn step_ms(&self, index: usize, running: f64) -> f64 {
        self.balancer.step_time().expect("engines").ms(running) * self.speed(index).step
    }

    fn take_outcomes(&mut self) -> (u32, u32, u32) {
        std::mem::take(&mut self.outcomes)
    }
}

fn index(place: &Placement) -> usize {
    place.member.id.as_str().trim_start_matches('s').parse().expect("a number")
}

/// Load: 12 prompts of 8,000 tokens a second on one engine as fast as assumed and three that take 1.2,
/// 1.8 and 2.2 times as long. Requests that are accepted there must be on time once that is known.
#[test]
fn requests_to_engines_of_unequal_speed_are_on_time() {
    let mut site = Site::new(&[1.0, 1.2, 1.8, 2.2]);
    site.run(20, ms(83.0), 8_000);
    site.take_outcomes();
    site.run(40, ms(83.0), 8_000);
    let (in_time, late, refused) = site.take_outcomes();
    let all = in_time + late + refused;
    assert!(in_time * 100 >= all * 95, "{in_time} in time, {late} late, {refused} refused");
    for (index, true_factor) in [1.0, 1.2, 1.8, 2.2].into_iter().enumerate() {
        let speed = site.speed(index);
        let error = speed.prefill / true_factor;
        assert!((0.75..1.3).contains(&error), "engine {index}: {speed:?}");
    }
}

/// Load: a steady flow on four alike engines of the typical speed, with jitter and unknown prompts in
/// a tenth of the gaps. Their factors must stay near 1 all the time, or deployments whose engines
/// match the typical values would be placed worse than without learning.
#[test]
fn engines_of_the_typical_speed_keep_factors_near_one() {
    let mut site = Site::new(&[1.0; 4]);
    for second in 0..60 {
        site.run(1, ms(60.0), 4_000);
        for index in 0..4 {
            let Speed { step, prefill, .. } = site.speed(index);
            assert!((0.88..1.12).contains(&step), "second {second}, engine {index}: step {step}");
            assert!((0.85..1.15).contains(&prefill), "second {second}, engine {index}: {prefill}");
        }
        let step = site.balancer.step_time().expect("engines").ms(8.0);
        assert!((3.5..4.4).contains(&step), "second {second}: {step}");
    }
}

/// Load: a steady flow with a prompt that this host does not know of in six of ten gaps. Such gaps are
/// several times longer and must not be taken for slow steps.
#[test]
fn prompts_of_other_hosts_are_not_taken_for_slow_steps() {
    let mut site = Site::new(&[1.0; 3]);
    site.unknown_prefill = 0.6;
    site.run(30, ms(60.0), 3_000);
    for index in 0..3 {
        let step = site.step_ms(index, 8.0);
        assert!((3.4..4.8).contains(&step), "engine {index}: {step}");
    }
}

/// Load: a steady flow on engines whose steps take 6.45 ms and 0.16 ms for each running request. Gaps
/// expected by the typical values would be half as long as they are.
#[test]
fn the_step_time_of_a_slower_kind_of_engine_is_learned() {
    let mut site = Site::new(&[1.0; 4]);
    site.step = (6.45, 0.16);
    site.duration = SECOND * 2;
    site.run(30, ms(40.0), 400);
    for running in [8.0, 16.0] {
        let (expected, is) = (site.step_ms(0, running), 6.45 + 0.16 * running);
        assert!((0.85..1.2).contains(&(expected / is)), "{running} running: {expected} for {is}");
    }
}

/// Load: a steady flow while one of four engines begins to take twice as long, as after a change of its
/// machine, and recovers later. Both must be known within the time to forget.
#[test]
fn a_change_of_speed_is_followed_within_15_seconds() {
    let mut site = Site::new(&[1.0; 4]);
    site.run(20, ms(30.0), 4_000);
    site.slowness[1] = 2.0;
    site.run(15, ms(30.0), 4_000);
    let slow = site.speed(1);
    assert!(slow.step > 1.6 && slow.prefill > 1.5, "{slow:?}");
    site.slowness[1] = 1.0;
    site.run(15, ms(30.0), 4_000);
    let recovered = site.speed(1);
    assert!(recovered.step < 1.2 && recovered.prefill < 1.2, "{recovered:?}");
}

/// Load: gaps and first events a hundred times longer than expected, as behind a broken link. The
/// factors are bounded, and gone after the time to forget.
#[test]
fn absurd_observations_have_bounded_effect_for_a_bounded_time() {
    let mut site = Site::new(&[100.0; 2]);
    site.run(10, ms(100.0), 4_000);
    let speed = site.speed(0);
    assert!(speed.step <= 4.0 && speed.prefill <= 4.0, "{speed:?}");
    assert!(site.balancer.step_time().expect("engines").ms(0.0) <= 3.09 * 4.0);
    site.events.clear();
    site.slowness = vec![1.0; 2];
    for _ in 0..60 {
        site.now += SECOND / 2;
        site.send(100);
        site.events.clear();
    }
    let Speed { step, prefill, .. } = site.speed(0);
    assert!((step - 1.0).abs() < 0.01 && (prefill - 1.0).abs() < 0.01, "{step} {prefill}");
    let base = site.balancer.step_time().expect("engines").ms(0.0);
    assert!((base - 3.09).abs() < 0.1, "{base}");
}

/// Load: a steady flow on four engines that read at half the typical speed. An engine that joins them
/// must not be taken for twice as fast until it has been observed.
#[test]
fn a_new_engine_starts_from_the_median_of_the_others() {
    let mut site = Site::new(&[2.0; 4]);
    site.run(20, ms(100.0), 4_000);
    let members: Vec<Member> = (0..5).map(member).collect();
    site.balancer.set_servers(site.now, Some(ENGINE), &members);
    let speed = site.speed(4);
    assert!((1.6..2.3).contains(&speed.prefill), "{speed:?}");
}

/// Load: one engine states that work takes 2.5 times as long there. Expectations are scaled while the
/// statement is fresh: it holds for a fraction of a second.
#[test]
fn the_stated_work_percentage_scales_expectations_while_it_is_fresh() {
    let mut site = Site::new(&[1.0; 2]);
    site.send(4_000);
    let (_, place, _) = site.events[0].clone();
    let load = |work_percent| Load { running: 1, waiting: 0, slots: 64, work_percent };
    site.balancer.observe(site.now, &place, load(None));
    assert_eq!(site.speed(index(&place)), Speed::TYPICAL);
    site.balancer.observe(site.now, &place, load(Some(250)));
    site.now += ms(400.0);
    assert_eq!(site.speed(index(&place)), Speed { step: 2.5, prefill: 2.5, work: 2.5 });
    site.now += ms(200.0);
    assert_eq!(site.speed(index(&place)), Speed::TYPICAL);
    site.balancer.observe(site.now, &place, load(Some(100_000)));
    assert_eq!(site.speed(index(&place)).step, 4.0);
}
