//! Changes of the fleet and of the traffic during a run.

use sequoiaridge_core::{EndpointId, RouterId};
use std::time::Duration;

/// A change of the fleet or of the traffic.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new engine joins.
    Join(EndpointId),
    /// An engine leaves: it finishes its work and takes no more.
    Leave(EndpointId),
    /// An engine stops answering; its running requests fail.
    Fail(EndpointId),
    /// An engine answers again and still has its cache.
    Recover(EndpointId),
    /// An engine answers again after a restart, with an empty cache.
    Restart(EndpointId),
    /// A router drains and hands over its chat index.
    Drain(RouterId),
    /// A router stops without a drain.
    Kill(RouterId),
    /// A new router starts in the failure domain of this number.
    Start(RouterId, usize),
    /// The first router wrongly considers the second one dead; other routers are not affected.
    DeclareDead(RouterId, RouterId),
    /// The first router considers the second one alive again.
    DeclareAlive(RouterId, RouterId),
    /// The first customer starts this many times its usual number of chats.
    Surge(f64),
}

/// Changes and the times at which they occur.
pub type Churn = Vec<(Duration, Change)>;

/// Named sequences of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing changes.
    Calm,
    /// Engines join, leave and flap, routers are replaced, the views of routers disagree, and the
    /// load of one customer surges.
    Churn,
    /// Two routers of one failure domain repeatedly disagree about one of them, for 2 to 10 s each
    /// time.
    Disagreement,
}

fn engine(number: usize) -> EndpointId {
    format!("engine-{number}")
}

fn router(number: usize) -> RouterId {
    format!("router-{number}")
}

impl Scenario {
    /// Returns the name for reports.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Calm => "calm",
            Scenario::Churn => "churn",
            Scenario::Disagreement => "disagreement",
        }
    }

    /// Returns the changes, spread over `length`.
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
                    churn.push((after(0.44, start), Change::Fail(engine(5))));
                    churn.push((after(0.44, start + 4.0), Change::Recover(engine(5))));
                }
                churn.push((at(0.52), Change::Fail(engine(6))));
                churn.push((after(0.52, 10.0), Change::Restart(engine(6))));
                churn.push((at(0.58), Change::Drain(router(2))));
                churn.push((after(0.58, 5.0), Change::Start(router(8), 2)));
                churn.push((at(0.65), Change::Kill(router(5))));
                churn.push((after(0.65, 10.0), Change::Start(router(9), 1)));
                for time in 0..4 {
                    let start = f64::from(time) * 12.0;
                    let (a, b) = (router(0), router(4));
                    churn.push((
                        after(0.72, start),
                        Change::DeclareDead(a.clone(), b.clone()),
                    ));
                    churn.push((after(0.72, start + 5.0), Change::DeclareAlive(a, b)));
                }
                churn.push((at(0.82), Change::Surge(2.0)));
                churn.push((at(0.90), Change::Surge(1.0)));
            }
            Scenario::Disagreement => {
                for time in 0..8 {
                    let start = f64::from(time as u32) * 18.0;
                    let (a, b) = (router(time % 4), router(time % 4 + 4));
                    let seconds = 2.0 + f64::from(time as u32) * 8.0 / 7.0;
                    // Two routers of other failure domains share the wrong view; the others do not.
                    let others = [router((time + 1) % 4), router((time + 2) % 4)];
                    for by in others.into_iter().chain([a]) {
                        churn.push((
                            after(0.5, start),
                            Change::DeclareDead(by.clone(), b.clone()),
                        ));
                        churn.push((
                            after(0.5, start + seconds),
                            Change::DeclareAlive(by, b.clone()),
                        ));
                    }
                }
            }
        }
        churn.sort_by_key(|(at, _)| *at);
        churn
    }
}
