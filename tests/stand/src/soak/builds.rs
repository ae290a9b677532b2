//! The programs of the hosts of a soak test, and their replacement.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};

use super::{GATEWAYS, Programs, Run};

/// The share of the steps in which a host is replaced by the other build.
const REPLACEMENT_SHARE: f64 = 0.35;
/// Sets the draws of builds apart from those of faults, which stay what they are without an older program.
const SEED_OF_BUILDS: u64 = 0x6275_696c_6473;

/// Which program each host runs.
pub struct Builds {
    rng: StdRng,
    today: String,
    older: Option<String>,
    /// By host.
    pub runs_older: [bool; GATEWAYS],
}

impl Builds {
    /// Draws the programs with which the hosts begin.
    pub fn draw(programs: Programs<'_>, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ SEED_OF_BUILDS);
        let older = programs.older.map(str::to_string);
        let runs_older = std::array::from_fn(|_| older.is_some() && rng.random_bool(0.5));
        Self { rng, today: programs.today.to_string(), older, runs_older }
    }

    /// The program of a host.
    pub fn program(&self, g: usize) -> &str {
        let older = self.older.as_deref().filter(|_| self.runs_older[g]);
        older.unwrap_or(&self.today)
    }

    /// Draws the host that is replaced in this step, if one is, and whether it is killed.
    fn draw_replacement(&mut self) -> Option<(usize, bool)> {
        let replaces = self.older.is_some() && self.rng.random_bool(REPLACEMENT_SHARE);
        replaces.then(|| (self.rng.random_range(0..GATEWAYS), self.rng.random_bool(0.4)))
    }
}

impl Run {
    /// Replaces a host by the other build, if that is drawn; returns whether it was.
    pub(super) fn replace_host(&mut self) -> anyhow::Result<bool> {
        let Some((g, kill)) = self.builds.draw_replacement() else { return Ok(false) };
        if kill {
            self.gateways[g].kill();
        } else {
            self.terminate(g)?;
        }
        self.builds.runs_older[g] ^= true;
        self.restart(g)?;
        let build = if self.builds.runs_older[g] { "older" } else { "today's" };
        let how = if kill { "killed" } else { "stopped" };
        self.outcome.trace.push(format!("g{g} {how} and replaced by the {build} build"));
        Ok(true)
    }
}
