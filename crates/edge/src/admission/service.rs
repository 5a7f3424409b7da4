//! Admission at one service: connects demand, room and shares.
//!
//! Answers a surge at one service without an effect on the others of the router.

use super::customer_sizes::CustomerSizes;
use super::decision;
use super::fleet_demand::{self, FleetDemand, PeerDemand};
use super::hold_times::HoldTimes;
use super::meter::{Demand, Meter, Metered};
use super::room::{BUSY_FILL, Room};
use super::shares::{CustomerDemand, Level, RankShares, Shares, split_room};
use super::spent_time::{CallerState, SpentTime, caller_state};
use super::wait::WaitLimit;
use super::{
    Admitted, Arrival, DemandReport, RoomChange, RoomFigures, ServiceKey, ServiceRoom, key,
};
use sequoiaridge_core::RouterId;
use std::time::Duration;

/// Share of the room from which demand is reported to other routers.
const REPORT_SHARE: f64 = 0.7;
/// Fill from which demand is reported. In calm, what one router sees of hundreds is too little to tell.
const REPORT_FILL: f64 = 0.4;
/// Fill from which demand is reported whatever this router sees itself.
const REPORT_ANYWAY_FILL: f64 = 0.7;
/// Time for which reports go on after the demand was last near the room, so that others see it fall.
const REPORT_HOLD: Duration = Duration::from_millis(1500);
/// Time after its start in which a surge may be larger than what is metered. After it, the correction
/// answers what waits.
const ONSET: Duration = Duration::from_millis(800);
/// Growth of the assumed demand with each refresh while requests wait too long, and its decay.
const ASSUMED: (f64, f64) = (2.0, 0.8);
/// Least time between a refresh and one that a report asks for, so that reports cause a bounded load.
const EARLY_REFRESH: Duration = Duration::from_millis(20);
/// Time without demand beyond the room after which a service is no longer short of it.
const SHORT_HOLD: Duration = Duration::from_secs(1);
/// Time after which a service without requests or endpoints is dropped.
const RETENTION: Duration = Duration::from_secs(120);

/// State of one service.
#[derive(Clone, Debug)]
pub struct Service {
    key: ServiceKey,
    used: Duration,
    meter: Meter,
    holds: HoldTimes,
    spent: SpentTime,
    peers: PeerDemand,
    sizes: CustomerSizes,
    room: Room,
    own: Demand,
    fleet: FleetDemand,
    /// When demand was last near the room.
    near: Option<Duration>,
    /// When demand was last beyond the room, while the service is short of it.
    short: Option<Duration>,
    /// Start of the surge, and demand in slots that is assumed until it is metered.
    onset: Option<(Duration, f64)>,
    shares: Option<Shares>,
    refreshed: Duration,
    /// Whether a refresh must not wait for its time.
    urgent: bool,
}

impl Service {
    /// Creates the state of a service.
    pub fn new(key: ServiceKey, now: Duration) -> Service {
        Service {
            key,
            used: now,
            meter: Meter::new(now),
            holds: HoldTimes::default(),
            spent: SpentTime::default(),
            peers: PeerDemand::default(),
            sizes: CustomerSizes::default(),
            room: Room::new(now),
            own: Demand::default(),
            fleet: FleetDemand::default(),
            near: None,
            short: None,
            onset: None,
            shares: None,
            refreshed: now,
            urgent: false,
        }
    }

    /// Key of the service in messages.
    pub fn key(&self) -> ServiceKey {
        self.key
    }

    /// Records for how long a request of a route held a slot.
    pub fn record_hold(&mut self, route: &str, held: Duration, now: Duration) {
        self.holds.record(route, held, now);
    }

    /// Records a request and decides on it.
    pub fn decide(&mut self, arrival: &Arrival<'_>, now: Duration) -> Admitted {
        self.used = now;
        let hold = self.holds.get(arrival.route, arrival.target);
        let state = match arrival.deadline {
            Some(deadline) if !arrival.resumed => {
                let spent = self.spent.record(arrival.route, deadline, now);
                caller_state(spent, hold, arrival.target)
            }
            _ => CallerState::InTime,
        };
        let customer = key(arrival.customer.unwrap_or_default());
        let late = state != CallerState::InTime;
        let metered = Metered {
            hold,
            rank: arrival.rank,
            customer,
            late,
        };
        self.meter.record(metered, now);
        match &self.shares {
            Some(shares) if !arrival.resumed => decision::decide(shares, arrival, customer, late),
            _ => Admitted::Yes,
        }
    }

    /// How long an admitted request may wait at an endpoint; `None` where the wait must not refuse it.
    pub fn wait_limit(
        &self,
        arrival: &Arrival<'_>,
        elapsed: Duration,
        now: Duration,
    ) -> Option<WaitLimit> {
        if arrival.resumed || self.shares.is_none() {
            return None;
        }
        let hold = self.holds.get(arrival.route, arrival.target);
        let deadline = arrival.deadline;
        let spent = deadline.map(|deadline| self.spent.get(arrival.route, deadline, now));
        let spent = spent.unwrap_or_default();
        let in_time = caller_state(spent, hold, arrival.target) == CallerState::InTime;
        in_time.then(|| WaitLimit {
            left: arrival.target.saturating_sub(spent + elapsed),
            // Those that wait at the endpoint are of all routes.
            hold: self.own.mean_hold().unwrap_or(hold),
        })
    }

    /// Probability with which the shares admit a request that is not a late return.
    pub fn probability(&self, arrival: &Arrival<'_>) -> f64 {
        let customer = key(arrival.customer.unwrap_or_default());
        let shares = self.shares.as_ref();
        shares.map_or(1.0, |shares| {
            decision::probability(shares, arrival.rank, customer)
        })
    }

    /// Records that an endpoint reports this fill. A queue fills and overflows between two refreshes, so that the
    /// first report of an overfull endpoint asks for one at once.
    pub fn note_fill(&mut self, fill: f64, now: Duration) {
        let is_news = self.shares.is_none() && self.room.is_overfull_at(fill);
        self.urgent |= is_news && now >= self.refreshed + EARLY_REFRESH;
    }

    /// Whether a refresh must not wait for its time.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Updates room, correction and shares.
    pub fn refresh(&mut self, view: &ServiceRoom<'_>, now: Duration) -> Option<RoomChange> {
        (self.refreshed, self.urgent) = (now, false);
        if !view.endpoints.is_empty() {
            self.used = now;
        }
        self.own = self.meter.demand(now);
        let hold = self.own.mean_hold();
        let hold = hold.unwrap_or_else(|| (view.target / 4).as_secs_f64());
        self.room.observe(&view.endpoints);
        let in_onset = self.onset.is_some_and(|(at, _)| now < at + ONSET);
        let refusing = self.shares.is_some();
        let demand = self.demand();
        self.room
            .correct(view.target, hold, demand, refusing, in_onset, now);
        self.fleet = self.peers.estimate(&self.own, view.routers, now);
        self.sizes.update(&self.fleet);
        self.assume_demand(now);
        let was_short = self.short.is_some();
        self.update_short(now);
        self.shares = self.short.and_then(|_| self.shares(hold));
        let is_short = self.short.is_some();
        (was_short != is_short).then(|| RoomChange {
            short: is_short,
            demand: self.demand(),
            room: self.room.corrected(),
            correction: self.room.correction(),
            routers_heard: self.fleet.heard,
        })
    }

    fn demand(&self) -> f64 {
        self.fleet.total + self.fleet.late
    }

    /// Assumes a growing demand while requests wait too long at the start of a surge. The routers know
    /// of each other's demand some 300 ms later, and by then queues of a few requests overflow.
    fn assume_demand(&mut self, now: Duration) {
        let room = self.room.unbraked();
        let overfull = self.room.is_overfull();
        let (at, assumed) = match self.onset {
            Some(onset) => onset,
            None if overfull => (now, room * self.room.rise().clamp(0.75, 2.0)),
            None => return,
        };
        let factor = if overfull { ASSUMED.0 } else { ASSUMED.1 };
        let assumed = (assumed * factor).min(4.0 * room);
        self.onset = Some((at, assumed));
        let demand = self.demand();
        if now < at + ONSET {
            if assumed > demand && demand > 0.0 {
                self.fleet.scale_by(assumed / demand);
            }
        } else if self.short.is_none() && !overfull {
            self.onset = None;
        }
    }

    fn update_short(&mut self, now: Duration) {
        let (demand, room) = (self.demand(), self.room.corrected());
        let fill = self.room.fill();
        let is_near = demand > REPORT_SHARE * room && fill >= REPORT_FILL;
        let is_busy = fill >= BUSY_FILL || self.room.is_overfull();
        // Demand that the endpoints still run in time is not refused, whatever is estimated.
        let is_waiting = fill >= self.room.aim() || self.room.is_overfull();
        if is_near || is_busy || fill >= REPORT_ANYWAY_FILL {
            self.near = Some(now);
        }
        if room <= 0.0 {
            // Without any endpoint, placement refuses with the reason that applies.
            self.short = None;
        } else if demand > room && (self.short.is_some() || is_waiting) {
            self.short = Some(now);
            self.near = Some(now);
        } else if self.short.is_some_and(|at| now >= at + SHORT_HOLD) {
            self.short = None;
        }
    }

    /// Shares of customers and ranks; none if all fits.
    fn shares(&self, hold: f64) -> Option<Shares> {
        let (fleet, room) = (&self.fleet, self.room.corrected());
        if self.demand() <= room {
            return None;
        }
        let (new_room, late_room) = split_room(room, fleet.total, fleet.late);
        let sized = self.sizes.sizes(fleet, hold);
        let mut demands: Vec<CustomerDemand> = sized.known.values().copied().collect();
        demands.push(CustomerDemand {
            size: sized.least,
            demand: sized.others,
        });
        let sum: f64 = demands.iter().map(|customer| customer.demand).sum();
        let average = (new_room / fleet.total.max(f64::MIN_POSITIVE)).min(1.0);
        let level = Level::find(&demands, average * sum);
        let customers = sized.known.iter();
        let customers = customers.map(|(key, customer)| (*key, level.probability(customer.size)));
        Some(Shares {
            customers: customers.collect(),
            unknown: level.probability(sized.least),
            average,
            ranks: RankShares::new(&fleet.ranks),
            late: (late_room / fleet.late.max(f64::MIN_POSITIVE)).min(1.0),
        })
    }

    /// What other routers need to know of this service.
    pub fn report(&self, now: Duration) -> Option<DemandReport> {
        let near = self.near.is_some_and(|at| now < at + REPORT_HOLD);
        near.then(|| fleet_demand::report(self.key, &self.meter.demand(now)))
    }

    /// Merges what another router reports.
    pub fn merge(&mut self, router: &RouterId, report: DemandReport, now: Duration) {
        self.peers.merge(router, report, now);
    }

    /// Figures for metrics.
    pub fn figures(&self) -> RoomFigures {
        RoomFigures {
            demand: self.demand(),
            room: self.room.corrected(),
            correction: self.room.correction(),
        }
    }

    /// Whether requests or endpoints of the service were seen lately.
    pub fn is_used(&self, now: Duration) -> bool {
        now.saturating_sub(self.used) < RETENTION
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.meter.expire(now);
        self.peers.expire(now);
        self.holds.expire(now);
        self.spent.expire(now);
    }
}
