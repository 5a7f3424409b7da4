//! What a play measures, and the bounds of docs/design/contention.md, section 4.

use super::{CUSTOMERS, Call, START, STEADY, Setup};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(2);

/// Calls, and what of them was served, by the time of the call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub calls: f64,
    pub served: f64,
    pub in_time: f64,
}

impl Counts {
    fn plus(self, other: Counts) -> Counts {
        Counts {
            calls: self.calls + other.calls,
            served: self.served + other.served,
            in_time: self.in_time + other.in_time,
        }
    }

    pub fn served_share(&self) -> f64 {
        self.served / self.calls.max(1.0)
    }

    pub fn in_time_share(&self) -> f64 {
        self.in_time / self.calls.max(1.0)
    }
}

/// A call that a server ran.
#[derive(Debug)]
pub struct Run {
    pub(super) call: Call,
    /// When its last attempt began.
    pub attempt: Duration,
    pub answered: Duration,
    pub target: Duration,
}

#[derive(Debug, Default)]
pub struct Figures {
    /// Requests served within their target in each 2 s, by the time at which
    /// they got a slot.
    pub goodput: Vec<f64>,
    pub calm_refusals: u32,
    /// Refused attempts from 2 s after the surge on.
    pub late_refusals: u32,
    /// Attempts refused for their wait at the chosen server.
    pub wait_refusals: u32,
    pub server_arrivals: f64,
    pub rejected: f64,
    /// What ran in the surge, and what of it was within target since its attempt and since its call.
    pub run: f64,
    pub run_in_time: f64,
    pub run_in_time_of_call: f64,
    pub all: Counts,
    pub ranks: Vec<Counts>,
    pub customers: Vec<Counts>,
    /// Calm figures of each customer.
    pub calm_customers: Vec<Counts>,
    surge_end: Duration,
    pub(super) runs: Vec<Run>,
    pub(super) refusals: Vec<Duration>,
    /// Arrivals at servers, and whether they were accepted.
    pub(super) offers: Vec<(Duration, bool)>,
}

impl Figures {
    /// Adds up what was recorded.
    pub(super) fn finish(&mut self, setup: &Setup, calls: &[Call]) {
        self.surge_end = START + Duration::from_secs(setup.surge_seconds);
        let surge = START..self.surge_end;
        let calm = Duration::from_secs(1)..START;
        self.ranks = vec![Counts::default(); setup.ranks.len()];
        self.customers = vec![Counts::default(); CUSTOMERS];
        self.calm_customers = vec![Counts::default(); CUSTOMERS];
        for call in calls {
            if surge.contains(&call.at) {
                self.all.calls += 1.0;
                self.ranks[call.rank].calls += 1.0;
                self.customers[call.customer].calls += 1.0;
            } else if calm.contains(&call.at) {
                self.calm_customers[call.customer].calls += 1.0;
            }
        }
        let first_event = Duration::from_secs_f64(setup.first_event);
        self.goodput = vec![0.0; (self.surge_end.as_secs() / 2 + 3) as usize];
        for run in &self.runs {
            let in_time = run.answered <= run.call.at + run.target;
            let customer = run.call.customer;
            let counts = if surge.contains(&run.call.at) {
                let rank = &mut self.ranks[run.call.rank];
                vec![&mut self.all, rank, &mut self.customers[customer]]
            } else if calm.contains(&run.call.at) {
                vec![&mut self.calm_customers[customer]]
            } else {
                Vec::new()
            };
            for counts in counts {
                counts.served += 1.0;
                counts.in_time += f64::from(u8::from(in_time));
            }
            if surge.contains(&run.answered) {
                self.run += 1.0;
                let in_time_of_attempt = run.answered <= run.attempt + run.target;
                self.run_in_time += f64::from(u8::from(in_time_of_attempt));
                self.run_in_time_of_call += f64::from(u8::from(in_time));
            }
            let served = run.answered.saturating_sub(first_event);
            let bin = (served.as_millis() + 1000) / SPAN.as_millis();
            if let (true, Some(goodput)) = (in_time, self.goodput.get_mut(bin as usize)) {
                *goodput += 1.0;
            }
        }
        let at_rest = |at: &&Duration| **at < START || **at >= self.surge_end + SPAN;
        self.calm_refusals = self.refusals.iter().filter(|at| **at < START).count() as u32;
        self.late_refusals = self.refusals.iter().filter(at_rest).count() as u32;
        for (at, accepted) in &self.offers {
            if surge.contains(at) {
                self.server_arrivals += 1.0;
                self.rejected += f64::from(u8::from(!accepted));
            }
        }
    }

    /// Goodput of each 2 s of the surge.
    pub fn surge_goodput(&self) -> &[f64] {
        // Spans begin at odd seconds, as the surge does.
        let first = START.as_secs().div_ceil(2) as usize;
        let last = self.surge_end.as_secs().div_ceil(2) as usize;
        &self.goodput[first..last]
    }

    pub fn worst_of_best(&self) -> f64 {
        let spans = self.surge_goodput().iter();
        let best = spans.clone().copied().fold(0.0, f64::max);
        spans.copied().fold(f64::INFINITY, f64::min) / best
    }

    /// Attempts refused at any time.
    pub fn refusals(&self) -> usize {
        self.refusals.len()
    }

    /// What customers at their calm rate got in calm and in the surge.
    fn steady(&self) -> (Counts, Counts) {
        let sum = |customers: &[Counts]| {
            let steady = STEADY.iter().map(|customer| customers[*customer]);
            steady.fold(Counts::default(), Counts::plus)
        };
        (sum(&self.calm_customers), sum(&self.customers))
    }

    /// Summary for messages of failed checks.
    pub fn summary(&self) -> String {
        let ranks: Vec<String> = self
            .ranks
            .iter()
            .map(|rank| format!("{:.2}/{:.2}", rank.served_share(), rank.in_time_share()))
            .collect();
        let steady: Vec<String> = STEADY
            .iter()
            .map(|customer| {
                let (calm, now) = (self.calm_customers[*customer], self.customers[*customer]);
                format!("{:.3}/{:.3}", now.in_time_share(), calm.in_time_share())
            })
            .collect();
        let least = self
            .customers
            .iter()
            .map(Counts::served_share)
            .fold(1.0, f64::min);
        format!(
            "goodput {:?} worst {:.3}; rejected {:.3} ({} in 1 s); in time {:.3} of call {:.3}; all {:.3} ranks {ranks:?} \
             steady {:.3} {steady:?} least {least:.3}; refusals before {} after {} for wait {}",
            self.goodput,
            self.worst_of_best(),
            self.rejected / self.server_arrivals,
            self.offers
                .iter()
                .filter(|(at, accepted)| !accepted && *at < START + SPAN / 2)
                .count() as f64
                / self.server_arrivals,
            self.run_in_time / self.run,
            self.run_in_time_of_call / self.run,
            self.all.served_share(),
            self.steady().1.in_time_share(),
            self.calm_refusals,
            self.late_refusals,
            self.wait_refusals,
        )
    }
}

/// Checks the bounds of requirements 1, 2, 4 and 5 and of calm.
pub fn check_surge(name: &str, figures: &Figures) {
    let summary = figures.summary();
    println!("{name}: {summary}");
    let mut broken = Vec::new();
    let mut check = |holds: bool, bound: &'static str| {
        if !holds {
            broken.push(bound);
        }
    };
    check(figures.calm_refusals == 0, "nothing is refused in calm");
    check(
        figures.late_refusals == 0,
        "nothing is refused from 2 s after the surge",
    );
    check(
        figures.worst_of_best() >= 0.9,
        "goodput of each 2 s is 0.9 of the best",
    );
    check(
        figures.rejected < 0.05 * figures.server_arrivals,
        "one in twenty arrivals rejected",
    );
    check(
        figures.run_in_time >= 0.9 * figures.run,
        "nine in ten run in time",
    );
    for pair in figures.ranks.windows(2) {
        let served = pair[0].served_share() >= pair[1].served_share() - 0.05;
        let in_time = pair[0].in_time_share() >= pair[1].in_time_share() - 0.15;
        check(served && in_time, "urgent ranks are no worse");
    }
    for customer in STEADY {
        let calm = figures.calm_customers[customer].in_time_share();
        let kept = figures.customers[customer].in_time_share() >= 0.95 * calm;
        check(kept, "each steady customer within one in twenty");
    }
    for counts in figures.ranks.iter().chain(&figures.customers) {
        let fair = counts.served_share() >= figures.all.served_share() / 4.0;
        check(fair, "none below a quarter of the average");
    }
    let goodput = &figures.goodput;
    let (before, after) = (goodput[2], goodput[goodput.len() - 2]);
    check(after >= 0.9 * before, "back to normal in the 2 s after");
    assert!(broken.is_empty(), "{name}: {broken:?}\n{summary}");
}
