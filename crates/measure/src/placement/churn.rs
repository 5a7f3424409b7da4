//! What changes during a run.

use sequoiaridge_core::{EndpointId, RouterId};
use std::time::Duration;

/// A change of the fleet or of the traffic.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new engine joins.
    Join(EndpointId),
    /// An engine leaves: it finishes its work and takes no more.
    Leave(EndpointId),
    /// An engine does not answer; what runs there breaks.
    Cut(EndpointId),
    /// An engine answers again with its cache.
    Back(EndpointId),
    /// An engine answers again after a restart, with an empty cache.
    Restart(EndpointId),
    /// A router drains: it hands its chat index over.
    Drain(RouterId),
    /// A router dies.
    Kill(RouterId),
    /// A new router starts in the failure domain of this number.
    Start(RouterId, usize),
    /// The first router takes the second one for dead, and no other router does.
    Accuse(RouterId, RouterId),
    /// The first router finds the second one alive again.
    Acquit(RouterId, RouterId),
    /// The first customer sends this many times its usual number of chats.
    Surge(f64),
}

/// Changes with their times.
pub type Churn = Vec<(Duration, Change)>;

/// Named sequences of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing changes.
    Calm,
    /// Engines join, leave and flap, routers are replaced, views disagree, one customer surges.
    Churn,
    /// Two routers of one domain disagree about one of them again and again, for 2 to 10 s.
    Disagreement,
}

fn engine(number: usize) -> EndpointId {
    format!("engine-{number}")
}

fn router(number: usize) -> RouterId {
    format!("router-{number}")
}

impl Scenario {
    /// Name for reports.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::Churn => "churn",
            Scenario::Disagreement => "disagreement",
        }
    }

    /// The changes, spread over `length`.
    pub fn changes(self, length: Duration) -> Churn {
        let at = |share: f64| length.mul_f64(share);
        let after = |share: f64, seconds: f64| at(share) + Duration::from_secs_f64(seconds);
        let mut churn = Vec::new();
        match self {
            Scenario::Calm => {}
            Scenario::Churn => {
                churn.push((at(0.25), Change::Join(engine(20))));
                churn.push((at(0.32), Change::Join(engine(21))));
                churn.push((at(0.38), Change::Leave(engine(3))));
                for flap in 0..4 {
                    let start = f64::from(flap) * 16.0;
                    churn.push((after(0.44, start), Change::Cut(engine(5))));
                    churn.push((after(0.44, start + 4.0), Change::Back(engine(5))));
                }
                churn.push((at(0.52), Change::Cut(engine(6))));
                churn.push((after(0.52, 10.0), Change::Restart(engine(6))));
                churn.push((at(0.58), Change::Drain(router(2))));
                churn.push((after(0.58, 5.0), Change::Start(router(8), 2)));
                churn.push((at(0.65), Change::Kill(router(5))));
                churn.push((after(0.65, 10.0), Change::Start(router(9), 1)));
                for time in 0..4 {
                    let start = f64::from(time) * 12.0;
                    let (a, b) = (router(0), router(4));
                    churn.push((after(0.72, start), Change::Accuse(a.clone(), b.clone())));
                    churn.push((after(0.72, start + 5.0), Change::Acquit(a, b)));
                }
                churn.push((at(0.82), Change::Surge(2.0)));
                churn.push((at(0.90), Change::Surge(1.0)));
            }
            Scenario::Disagreement => {
                for time in 0..8 {
                    let start = f64::from(time as u32) * 18.0;
                    let (a, b) = (router(time % 4), router(time % 4 + 4));
                    let lasts = 2.0 + f64::from(time as u32) * 8.0 / 7.0;
                    // Two routers of other domains agree with the accuser, the others do not.
                    let others = [router((time + 1) % 4), router((time + 2) % 4)];
                    for by in others.into_iter().chain([a]) {
                        churn.push((after(0.5, start), Change::Accuse(by.clone(), b.clone())));
                        churn.push((after(0.5, start + lasts), Change::Acquit(by, b.clone())));
                    }
                }
            }
        }
        churn.sort_by_key(|(at, _)| *at);
        churn
    }
}
