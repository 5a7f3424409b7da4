//! Tests in virtual time of the dissemination of group sums at both fleet sizes.

mod net;

use net::Net;
use sequoiaridge_core::Targets;
use sequoiaridge_membership::{CountScope, Detector, EndpointLoad, EndpointState, GroupSum};
use sequoiaridge_policy::{
    Call, ClassPolicy, EndpointInfo, EndpointState as Open, Owner, OwnerConfig, Placement,
    RemoteTotals,
};
use std::time::Duration;

const ROUTERS: usize = 370;
const ENDPOINTS: usize = 20;
const GROUPS: usize = 4;
const CAPACITY: u32 = 32;

fn name(endpoint: usize) -> String {
    format!("engine-{endpoint:04}")
}

fn group(endpoint: usize) -> String {
    format!("model-{}", endpoint % GROUPS)
}

/// A fleet in which each router owns `endpoints` endpoints, divided evenly between the groups.
struct Fleet {
    net: Net,
    endpoints: usize,
}

/// How completely and how recently routers know the sums of the others.
#[derive(Debug)]
struct Known {
    /// Least fraction of the other owners' engines that the sums at a router contain.
    least: f64,
    /// Age over all routers and the sums that each knows. The age of a domain's sum is the mean of
    /// its owners.
    median: Duration,
    oldest: Duration,
}

/// Returns the sums of the other owners or, where only these are known, of domains.
fn parts(detector: &Detector, now: Duration) -> Vec<Vec<GroupSum>> {
    let sums = detector.sums(now);
    let owners = sums.owners.into_iter().map(|sum| sum.groups);
    owners
        .chain(sums.domains.into_iter().map(|sum| sum.groups))
        .collect()
}

impl Fleet {
    fn new(routers: usize, domains: usize, endpoints: usize) -> Fleet {
        let net = Net::new(routers, domains, 0.0, 13);
        Fleet { net, endpoints }
    }

    /// Sets the count of every router at each of its engines, by group.
    fn publish(&mut self, counts: [u32; GROUPS]) {
        let now = self.net.now;
        let all = self.net.nodes.len() * self.endpoints;
        for (index, node) in self.net.nodes.iter_mut().enumerate() {
            let own = index * self.endpoints..(index + 1) * self.endpoints;
            let loads = own.clone().map(|endpoint| EndpointLoad {
                endpoint: name(endpoint),
                outstanding: counts[endpoint % GROUPS],
                state: EndpointState::Up,
            });
            node.detector.set_loads(&loads.collect::<Vec<_>>(), now);
            let sums = (0..GROUPS).map(|number| GroupSum {
                group: group(number),
                outstanding: counts[number]
                    * own.clone().filter(|e| e % GROUPS == number).count() as u32,
                capacity: CAPACITY * own.clone().filter(|e| e % GROUPS == number).count() as u32,
            });
            let sums: Vec<_> = sums.filter(|sum| sum.capacity > 0).collect();
            let spread = CountScope::for_fleet(all, []);
            node.detector.set_sums(&sums, spread);
        }
    }

    /// Publishes continuously changing sums for `time` and returns what is known in the end. The
    /// work of each engine is the time of publication, from which the ages are computed.
    fn run_timed(&mut self, time: Duration) -> Known {
        let end = self.net.now + time;
        while self.net.now < end {
            self.publish([self.net.now.as_millis() as u32; GROUPS]);
            self.net.run(Duration::from_millis(250));
        }
        let others = (self.net.nodes.len() - 1) * self.endpoints;
        let mut least = 1.0_f64;
        let mut ages = Vec::new();
        for node in &self.net.nodes {
            let sums = parts(&node.detector, self.net.now);
            let engines = sums.iter().flatten().map(|sum| sum.capacity / CAPACITY);
            least = least.min(f64::from(engines.sum::<u32>()) / others as f64);
            ages.extend(sums.iter().map(|groups| {
                let at = groups[0].outstanding / (groups[0].capacity / CAPACITY);
                self.net
                    .now
                    .saturating_sub(Duration::from_millis(at.into()))
            }));
        }
        ages.sort();
        Known {
            least,
            median: ages[ages.len() / 2],
            oldest: ages[ages.len() - 1],
        }
    }

    /// Returns the bytes per second of the average and of the busiest router in the last `time`,
    /// and resets the counters.
    fn take_rates(&mut self, time: Duration) -> (f64, f64) {
        let nodes = self.net.nodes.iter_mut();
        let bytes: Vec<u64> = nodes.map(|node| std::mem::take(&mut node.bytes)).collect();
        let rate = |bytes: u64| bytes as f64 / time.as_secs_f64();
        let mean = rate(bytes.iter().sum()) / bytes.len() as f64;
        (mean, rate(*bytes.iter().max().unwrap()))
    }

    /// Triples the work of one group from `low` within 2 s. Returns the time after which 99 % of
    /// the routers know the mean within 10 %.
    fn surge(&mut self, low: u32) -> Duration {
        let high = 3 * low;
        let start = self.net.now;
        for step in 1..=60 {
            self.publish([low + (high - low) * step.min(8) / 8, low, low, low]);
            self.net.run(Duration::from_millis(250));
            let means = self.means(0);
            let near = means
                .iter()
                .filter(|mean| (**mean / f64::from(high) - 1.0).abs() <= 0.1);
            if near.count() * 100 >= means.len() * 99 {
                return self.net.now - start;
            }
        }
        panic!("the mean does not follow: {:?}", self.means(0));
    }

    /// Returns the mean load of a group's engines according to the sums at each router.
    fn means(&self, number: usize) -> Vec<f64> {
        let nodes = self.net.nodes.iter();
        let means = nodes.map(|node| {
            let sums = parts(&node.detector, self.net.now);
            let (work, capacity) = sums
                .iter()
                .flatten()
                .filter(|sum| sum.group == group(number))
                .fold((0, 0), |(work, capacity), sum| {
                    (work + sum.outstanding, capacity + sum.capacity)
                });
            f64::from(work) * f64::from(CAPACITY) / f64::from(capacity)
        });
        means.collect()
    }
}

/// Guards against sums that do not reach all routers of a small fleet within seconds.
#[test]
fn sums_of_8_routers() {
    let mut fleet = Fleet::new(8, 4, 3);
    let known = fleet.run_timed(Duration::from_secs(20));
    println!("8 routers: {known:?}");
    assert!(
        known.least == 1.0 && known.oldest <= Duration::from_secs(5),
        "{known:?}"
    );
}

/// Guards against sums that do not reach all routers at the target size in time, and against
/// traffic beyond 23 KB/s.
#[test]
fn sums_of_370_routers() {
    let mut fleet = Fleet::new(ROUTERS, 12, ENDPOINTS);
    fleet.run_timed(Duration::from_secs(4));
    fleet.take_rates(Duration::from_secs(1));
    let time = Duration::from_secs(5);
    let known = fleet.run_timed(time);
    let (mean, most) = fleet.take_rates(time);
    println!("370 routers: {known:?}, {mean:.0} B/s on average, {most:.0} B/s at most");
    assert!(
        known.least >= 0.99 && known.median <= Duration::from_secs(4),
        "{known:?}"
    );
    assert!(most <= 23_000.0, "{most} B/s");
}

/// Guards against an owner that refuses calls although its engines are below the mean, because it
/// does not know the work of most other owners, and against a mean that follows a surge late.
#[test]
fn an_owner_of_370_reaches_the_mean() {
    let mut fleet = Fleet::new(ROUTERS, 12, ENDPOINTS);
    fleet.publish([20; GROUPS]);
    fleet.net.run(Duration::from_secs(4));
    let (net, now) = (&fleet.net, fleet.net.now);
    let mut owner = Owner::new(OwnerConfig::default());
    for endpoint in 0..ROUTERS * ENDPOINTS {
        let info = EndpointInfo {
            id: name(endpoint),
            capacity: CAPACITY,
            groups: vec![group(endpoint)],
            state: Open::Up,
            owned: endpoint < ENDPOINTS,
            joined: None,
        };
        owner.set_endpoint(info, now);
    }
    (0..ENDPOINTS).for_each(|endpoint| owner.record_probe(&name(endpoint), 0, now));
    let mut others = RemoteTotals::default();
    for sum in parts(&net.nodes[0].detector, now).iter().flatten() {
        others.add(&sum.group, sum.outstanding, sum.capacity);
    }
    owner.set_remote_totals(Some(others));
    let mut admitted = 0;
    for call in 0..(20 * ENDPOINTS) as u64 {
        let endpoint = call as usize % ENDPOINTS;
        let targets = Targets::default();
        let call = Call {
            ticket: call,
            customer: "customer".to_string(),
            class: "chat".to_string(),
            policy: ClassPolicy::from_targets(&targets),
            group: group(endpoint),
            chat: Some(call),
            fingerprint: call,
            suspect: false,
            cached_only: false,
            cost: 1,
            arrival: now,
            deadline: now + targets.deadline(),
        };
        let placed = owner.place(&call, &[name(endpoint)], 2, now);
        admitted += u32::from(matches!(placed, Placement::Admit { .. }));
    }
    println!("{admitted} of 400 calls admitted up to the mean of the group");
    assert_eq!(admitted, 400, "calls below the mean were refused");
    let surge = fleet.surge(20);
    println!("370 routers: 99 % know the mean within 10 % {surge:?} after the surge began");
    assert!(surge <= Duration::from_secs(10), "{surge:?}");
}
