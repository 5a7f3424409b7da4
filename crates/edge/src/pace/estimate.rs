//! The estimate of one endpoint's pace: smoothing, confirmation and fading.
//!
//! A prompt of 10,000 tokens delays the events of all streams beside it for 120 ms, which looks like a
//! slow endpoint to several routers at the same time. So a first slow sample only raises a suspicion,
//! which another stream has to confirm a little later.

use super::effect::EFFECTIVE_PACE;
use super::sampling::Stall;
use super::scale::PaceEntry;
use std::time::Duration;

/// Time in which the excess over 1 halves without a sample.
const HALF_LIFE: Duration = Duration::from_millis(1500);
/// The same for a pace that the endpoint reported: neighbors on a machine change several times a second.
const FIGURE_HALF_LIFE: Duration = Duration::from_millis(300);
/// Time for which a reported pace outweighs samples of times.
const FIGURE_TTL: Duration = Duration::from_millis(600);
/// Weight of a sample from a stream, and of one that raises an estimate without effect and is too small for a
/// suspicion. Prompts beside a stream make many such samples.
const PAUSE_WEIGHT: f64 = 0.4;
const RISE_WEIGHT: f64 = 0.15;
/// Weight of a usual pause at an endpoint that counts as slow. Streams of an endpoint at half of the speed or
/// less have none.
const USUAL_WEIGHT: f64 = 0.6;
/// Weight of the time of a plain answer. Their work differs from one to the next, and an endpoint of a
/// plain service gets many of them.
const ANSWER_WEIGHT: f64 = 0.05;
/// Range of a sample, so that one alone does not move the estimate far.
const MIN_SAMPLE: f64 = 0.5;
const MAX_SAMPLE: f64 = 16.0;
const MAX_ANSWER_SAMPLE: f64 = 4.0;
/// Sample from which an endpoint is suspected.
const SUSPECT_SAMPLE: f64 = 2.0;
/// Estimate of a suspected endpoint. It has no effect.
const SUSPECTED_PACE: f64 = 1.42;
/// Estimate of a suspected endpoint after a sample that refutes the suspicion.
const REFUTED_PACE: f64 = 1.2;
/// Estimate from which an endpoint counts as suspected; less than the above by a step of the scale.
const SUSPECTED_FROM: f64 = 1.35;
/// Time that a suspicion must last before it is confirmed, longer than what one prompt delays the events
/// beside it, and the time after which it has lapsed.
const CONFIRM_AFTER: Duration = Duration::from_millis(350);
const CONFIRM_BEFORE: Duration = Duration::from_millis(2000);
/// Time by which the suspicion of this router may look later when it comes back from another one.
const ECHO_TIME: Duration = Duration::from_millis(100);
/// Time by which it may look earlier: ages are rounded down, and a message may take no time.
const ROUNDING: Duration = Duration::from_millis(15);

/// The newest estimate of an endpoint's pace, by this router or another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Estimate {
    pace: f64,
    /// Time of the last sample or, while the endpoint is only suspected, of the first slow one.
    at: Duration,
    is_figure: bool,
    /// The stream of this router that raised the suspicion.
    suspected_by: Option<u64>,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate {
            pace: 1.0,
            at: Duration::ZERO,
            is_figure: false,
            suspected_by: None,
        }
    }
}

impl Estimate {
    /// Time of the last sample.
    pub(super) fn at(&self) -> Duration {
        self.at
    }

    /// The pace as of the last sample. Until the next one it fades towards 1.
    pub(super) fn last(&self) -> f64 {
        self.pace
    }

    /// Records a pace that the endpoint reported.
    pub(super) fn record_figure(&mut self, pace: f64, now: Duration) {
        *self = Estimate {
            pace: pace.clamp(MIN_SAMPLE, MAX_SAMPLE),
            at: now,
            is_figure: true,
            suspected_by: None,
        };
    }

    /// Records the pause between events of a stream, as a multiple of the usual one.
    pub(super) fn record_pause(&mut self, ratio: f64, run: u64, now: Duration) {
        if self.has_figure(now) {
            return;
        }
        let ratio = ratio.clamp(MIN_SAMPLE, MAX_SAMPLE);
        let before = self.pace(now);
        if before >= EFFECTIVE_PACE {
            let is_usual = ratio < EFFECTIVE_PACE;
            let weight = if is_usual { USUAL_WEIGHT } else { PAUSE_WEIGHT };
            self.smooth_from(before, ratio, weight, now);
            if is_usual && self.is_suspicion() {
                self.pace = REFUTED_PACE;
            }
            return;
        }
        if ratio < SUSPECT_SAMPLE {
            let is_refuted = self.is_suspicion();
            let before = if is_refuted {
                before.min(REFUTED_PACE)
            } else {
                before
            };
            let weight = if ratio > before {
                RISE_WEIGHT
            } else {
                PAUSE_WEIGHT
            };
            self.smooth_from(before, ratio, weight, now);
            return;
        }
        let since = now.saturating_sub(self.at);
        let is_suspected = self.is_suspicion() && !self.is_lapsed(now);
        if !is_suspected {
            self.pace = SUSPECTED_PACE;
            self.at = now;
            self.is_figure = false;
            self.suspected_by = Some(run);
        } else if since >= CONFIRM_AFTER && self.suspected_by != Some(run) {
            self.smooth_from(SUSPECTED_PACE, ratio, PAUSE_WEIGHT, now);
        }
    }

    /// Records a pause that goes on, as a multiple of the usual one. Alone it only raises a suspicion: a long
    /// prompt beside the stream causes one, too.
    pub(super) fn record_stall(&mut self, ratio: f64, stall: Stall, run: u64, now: Duration) {
        let is_open = self.is_suspicion() && !self.is_lapsed(now);
        if stall == Stall::Repeated || !is_open && self.pace(now) < EFFECTIVE_PACE {
            self.record_pause(ratio, run, now);
        }
    }

    /// Records the time of a plain answer, as a multiple of the usual one.
    pub(super) fn record_answer(&mut self, ratio: f64, now: Duration) {
        if !self.has_figure(now) {
            let ratio = ratio.clamp(MIN_SAMPLE, MAX_ANSWER_SAMPLE);
            self.smooth(ratio, ANSWER_WEIGHT, now);
        }
    }

    /// Current pace.
    pub(super) fn pace(&self, now: Duration) -> f64 {
        let half_life = if self.is_figure {
            FIGURE_HALF_LIFE
        } else {
            HALF_LIFE
        };
        let halves = now.saturating_sub(self.at).as_secs_f64() / half_life.as_secs_f64();
        1.0 + (self.pace - 1.0) * (-halves).exp2()
    }

    /// Current pace, compared with the usual one of the service's endpoints. What an endpoint reports is
    /// absolute.
    pub(super) fn compared(&self, usual: f64, now: Duration) -> f64 {
        let pace = self.pace(now);
        if self.is_figure { pace } else { pace / usual }
    }

    /// What other routers are told.
    pub(super) fn entry(&self, now: Duration) -> PaceEntry {
        let age = now.saturating_sub(self.at);
        PaceEntry::write(self.pace, self.is_figure, age)
    }

    /// The estimate of another router, whose message was sent at `at`.
    pub(super) fn received(entry: PaceEntry, at: Duration) -> Option<Estimate> {
        let (pace, is_figure, age) = entry.read()?;
        Some(Estimate {
            pace,
            at: at.saturating_sub(age),
            is_figure,
            suspected_by: None,
        })
    }

    /// Takes over a newer estimate. A suspicion does not replace an estimate that has effect, which other
    /// streams confirmed.
    pub(super) fn replace(&mut self, newer: Estimate) {
        let outweighs = |a: &Estimate, b: &Estimate| {
            b.is_suspicion() && a.pace(b.at.max(a.at)) >= EFFECTIVE_PACE
        };
        let is_outweighed =
            outweighs(self, &newer) || self.has_figure(newer.at) && !newer.is_figure;
        if self.is_suspicion() && newer.is_suspicion() && !self.is_lapsed(newer.at) {
            // The first slow sample counts. Its own echo comes back with the same time or a later one.
            let is_echo = newer.at + ROUNDING > self.at && newer.at < self.at + ECHO_TIME;
            if !is_echo {
                self.suspected_by = None;
            }
            return;
        }
        let is_newer = newer.at > self.at && !is_outweighed;
        if is_newer || outweighs(&newer, self) && self.at < newer.at + CONFIRM_BEFORE {
            *self = newer;
        }
    }

    /// Whether a suspicion was not confirmed in time.
    fn is_lapsed(&self, now: Duration) -> bool {
        now >= self.at + CONFIRM_BEFORE
    }

    /// Whether the endpoint is only suspected.
    fn is_suspicion(&self) -> bool {
        !self.is_figure && (SUSPECTED_FROM..EFFECTIVE_PACE).contains(&self.pace)
    }

    /// Whether the endpoint reported its pace a short time ago.
    fn has_figure(&self, now: Duration) -> bool {
        self.is_figure && now < self.at + FIGURE_TTL
    }

    fn smooth(&mut self, sample: f64, weight: f64, now: Duration) {
        self.smooth_from(self.pace(now), sample, weight, now);
    }

    fn smooth_from(&mut self, before: f64, sample: f64, weight: f64, now: Duration) {
        *self = Estimate {
            pace: before + weight * (sample - before),
            at: now,
            is_figure: false,
            suspected_by: None,
        };
    }
}
