//! Tests in virtual time of propagation and control traffic at both fleet sizes.

mod net;

use net::{Net, info};
use rand::RngExt;
use sequoiaridge_membership::{
    CountScope, CrashKind, CrashNotice, EndpointLoad, EndpointState, GroupSum, Message,
};
use std::time::Duration;

/// Maximum time until a configuration version is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(4);

fn notice_reaches_all(size: usize, domains: usize) {
    let mut net = Net::new(size, domains, 0.05, 11);
    net.run(Duration::from_secs(4));
    net.nodes[0].detector.set_version(7);
    let now = net.now;
    let sent = net.nodes[0]
        .detector
        .broadcast(Message::config_notice(7), now);
    assert_eq!(sent.len(), size - 1);
    net.send(0, sent);
    let all = |net: &Net| {
        net.nodes
            .iter()
            .all(|node| node.detector.highest_version().0 == 7)
    };
    assert!(
        net.run_until(now + IN_FORCE, all),
        "the notice did not reach all {size}"
    );
    println!(
        "{size} routers, 5 % loss: version known everywhere after {:?}",
        net.now - now
    );
    net.run_until(now + IN_FORCE, |_| false);
    let view = net.nodes[0].detector.view();
    let confirmed = view.iter().filter(|peer| peer.version == 7).count();
    println!("{size} routers: {confirmed} confirmed it to the sender within {IN_FORCE:?}");
    assert!(
        confirmed * 100 >= view.len() * 99,
        "{confirmed} confirmations"
    );
}

/// Guards against a version that is not in force everywhere within 4 s.
#[test]
fn notice_reaches_8_routers() {
    notice_reaches_all(8, 4);
}

/// Guards against a version that is not in force everywhere within 4 s at the target size.
#[test]
fn notice_reaches_370_routers() {
    notice_reaches_all(370, 12);
}

/// Sets the loads of each router's `endpoints` endpoints to random counts.
fn set_loads(net: &mut Net, endpoints: usize) {
    let now = net.now;
    for (index, node) in net.nodes.iter_mut().enumerate() {
        let loads: Vec<_> = (0..endpoints)
            .map(|endpoint| EndpointLoad {
                endpoint: format!("engine-{:04}", index * endpoints + endpoint),
                outstanding: net.rng.random_range(0..64),
                state: EndpointState::Up,
            })
            .collect();
        node.detector.set_loads(&loads, now);
        let sum = GroupSum {
            group: "model".to_string(),
            outstanding: loads.iter().map(|load| load.outstanding).sum(),
            capacity: 64 * endpoints as u32,
        };
        node.detector.set_sums(&[sum], CountScope::All);
    }
}

/// Returns the bytes per second of the busiest and of the average router in the last `time`, and
/// resets the counters.
fn take_rates(net: &mut Net, time: Duration) -> (f64, f64) {
    let counts = net
        .nodes
        .iter_mut()
        .map(|node| std::mem::take(&mut node.bytes));
    let counts: Vec<u64> = counts.collect();
    let seconds = time.as_secs_f64();
    let mean = counts.iter().sum::<u64>() as f64 / counts.len() as f64;
    (
        *counts.iter().max().unwrap() as f64 / seconds,
        mean / seconds,
    )
}

/// Runs a fleet whose load counts all change every `every`. Returns the bytes per second that the
/// busiest router sends and receives, with IP and UDP headers. Prints how many reports routers
/// know.
fn busiest(size: usize, domains: usize, endpoints: usize, time: Duration, every: Duration) -> f64 {
    let mut net = Net::new(size, domains, 0.0, 13);
    let warm_up = Duration::from_secs(6);
    let end = warm_up + time;
    set_loads(&mut net, endpoints);
    let mut warm = false;
    while net.now < end {
        net.run(every);
        if every < time {
            set_loads(&mut net, endpoints);
        }
        if !warm && net.now >= warm_up {
            warm = true;
            take_rates(&mut net, Duration::from_secs(1));
        }
    }
    let (most, mean) = take_rates(&mut net, time);
    let expected = size * endpoints;
    let known: Vec<usize> = net
        .nodes
        .iter()
        .map(|node| node.detector.loads().len())
        .collect();
    let least = known.iter().min().unwrap();
    println!(
        "{size} routers, {expected} endpoints, counts change every {every:?}: {mean:.0} B/s on \
         average, {most:.0} B/s at most; the worst informed router knows {least} reports"
    );
    most
}

/// Guards against control traffic beyond 4 KB/s at 8 routers, with constant and with changing
/// loads.
#[test]
fn traffic_of_8_routers() {
    let time = Duration::from_secs(60);
    let quiet = busiest(8, 4, 3, time, time);
    let busy = busiest(8, 4, 3, time, Duration::from_millis(100));
    assert!(quiet <= 4000.0 && busy <= 4000.0, "{quiet} and {busy} B/s");
}

/// Guards against control traffic beyond 23 KB/s at the target size.
#[test]
fn traffic_of_370_routers() {
    let time = Duration::from_secs(12);
    let busy = busiest(370, 12, 20, time, Duration::from_secs(1));
    assert!(busy <= 23_000.0, "{busy} B/s");
}

/// Guards against bursts of probes to one router. At 5 % loss, a router of a large fleet is
/// occasionally considered dead by mistake. Every other router then used to probe it every 2 s.
#[test]
fn loss_causes_no_burst_at_370_routers() {
    let (warm_up, time) = (Duration::from_secs(6), Duration::from_secs(8));
    let mut net = Net::new(370, 12, 0.05, 13);
    set_loads(&mut net, 20);
    net.run(warm_up);
    take_rates(&mut net, warm_up);
    net.run(time);
    let (most, mean) = take_rates(&mut net, time);
    println!("370 routers, 5 % loss: {mean:.0} B/s on average, {most:.0} B/s at most");
    assert!(most <= 23_000.0, "{most} B/s");
}

/// Guards against messages that do not fit into a datagram because names and counts are long. The
/// test network panics if a message cannot be sealed.
#[test]
fn longest_names_fit_a_datagram() {
    let mut net = Net::unlisted(0, 1, 0.05, 17);
    let long = |name: &str, index: usize| format!("{name}-{index:0>0$}", 63 - name.len());
    for index in 0..20 {
        let mut info = info(index, 4);
        info.id = long("router", index);
        info.domain = long("domain", index % 4);
        info.region = long("region", index % 2);
        info.addr
            .set_ip(std::net::Ipv6Addr::new(0xfd00, 1, 2, 3, 4, 5, 6, index as u16).into());
        net.add(info);
    }
    let seed = net.nodes[0].info.addr;
    for (index, node) in net.nodes.iter_mut().enumerate() {
        node.detector.add_seed(seed);
        let loads: Vec<_> = (0..40)
            .map(|n| EndpointLoad {
                endpoint: long("engine", 40 * index + n),
                outstanding: u32::MAX - n as u32,
                state: EndpointState::Up,
            })
            .collect();
        node.detector.set_loads(&loads, Duration::ZERO);
        let sums: Vec<_> = (0..index)
            .map(|n| GroupSum {
                group: long("model", n),
                outstanding: u32::MAX - n as u32,
                capacity: u32::MAX - n as u32,
            })
            .collect();
        node.detector.set_sums(&sums, CountScope::All);
    }
    for round in 0..10 {
        net.run(Duration::from_secs(1));
        net.nodes[19].paused = round % 6 < 3;
        let notice = CrashNotice {
            fingerprint: u64::MAX - round,
            endpoint: long("engine", 1),
            boot: u64::MAX,
            kind: CrashKind::Cleared { nonce: u64::MAX },
        };
        let now = net.now;
        let sent = net.nodes[1]
            .detector
            .broadcast(Message::crash_notice(notice), now);
        net.send(1, sent);
    }
    let known = |net: &Net| {
        net.nodes
            .iter()
            .all(|node| node.detector.view().len() == 19)
    };
    assert!(
        net.run_until(Duration::from_secs(60), known),
        "members stay unknown"
    );
    println!(
        "20 routers with the longest names know each other after {:?}",
        net.now
    );
}
