//! Which version began a stream, over a virtual clock.

use sequoiaridge_edge::{
    PeerMessage, StreamNews, StreamOrigin, StreamVersions, TellPace, stream_holders, stream_id,
    stream_keepers, stream_owners,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(100 + seconds)
}

/// Guards against a stream that goes on at the version of the endpoint that resumed it last.
#[test]
fn the_version_that_began_a_stream_stays() {
    let mut streams = StreamVersions::with_window(WINDOW);
    let stream = stream_id("a1");
    streams.record(stream, "v1", at(0));
    streams.record(stream, "v2", at(1));
    let (version, age) = streams.version(stream, at(2)).expect("a known stream");
    assert_eq!((version.as_str(), age), ("v1", Duration::from_secs(1)));
    assert_eq!(streams.version(stream_id("a2"), at(2)), None);
}

/// Guards against knowledge that is lost before the last caller takes its stream up, or kept for ever.
#[test]
fn a_stream_is_known_for_the_window_after_it_last_went_on() {
    let mut streams = StreamVersions::with_window(WINDOW);
    let stream = stream_id("a1");
    streams.record(stream, "v1", at(0));
    streams.record(stream, "v1", at(20));
    streams.expire(at(40));
    assert!(streams.version(stream, at(40)).is_some());
    streams.expire(at(50));
    assert!(streams.is_empty());
}

/// Guards against streams that a router counts as fresh because another one told it of them late.
#[test]
fn what_another_router_knows_keeps_its_age() {
    let (mut first, mut second) = (
        StreamVersions::with_window(WINDOW),
        StreamVersions::with_window(WINDOW),
    );
    let stream = stream_id("a1");
    first.record(stream, "v1", at(0));
    let told = first.recorded_since(at(0), at(10));
    assert_eq!(
        told,
        [StreamOrigin {
            stream,
            version: "v1".to_string(),
            age_ms: 10_000
        }]
    );
    second.merge(&told, at(10));
    assert_eq!(
        second.version(stream, at(20)).map(|(_, age)| age),
        Some(Duration::from_secs(20))
    );
    assert!(second.version(stream, at(30)).is_none());
    assert!(first.recorded_since(at(1), at(10)).is_empty());
}

/// Guards against a router whose memory grows with the streams of the fleet.
#[test]
fn the_oldest_streams_are_dropped_beyond_a_bound() {
    let mut streams = StreamVersions::with_window(WINDOW);
    for number in 0..40_000_u64 {
        streams.record(number, "v1", at(0) + Duration::from_micros(500 * number));
    }
    assert!(streams.len() < 40_000);
    assert!(streams.version(0, at(20)).is_none());
    assert!(streams.version(39_999, at(20)).is_some());
}

/// Guards against rows of saved streams that hold all streams of a window, most of which ended.
#[test]
fn streams_that_ended_are_not_saved() {
    let mut streams = StreamVersions::with_window(WINDOW);
    for stream in 1..=3 {
        streams.record(stream, "v1", at(0));
    }
    streams.merge(
        &[StreamOrigin {
            stream: 4,
            version: "v1".to_string(),
            age_ms: 0,
        }],
        at(0),
    );
    streams.end(1, at(1));
    streams.end(2, at(4));
    let own = |streams: &StreamVersions, second| -> Vec<u64> {
        let own = streams.to_save(false, at(second));
        own.iter().map(|origin| origin.stream).collect()
    };
    assert_eq!(own(&streams, 5), [3, 2, 1]);
    assert_eq!(own(&streams, 6), [3, 2]);
    assert_eq!(own(&streams, 9), [3]);
    assert!(streams.version(1, at(9)).is_some(), "routers still know it");
    streams.record(1, "v1", at(9));
    assert_eq!(own(&streams, 9), [1, 3]);
    let with_told = |second: u64| streams.to_save(true, at(second)).len();
    assert_eq!(
        (with_told(14), with_told(15)),
        (3, 2),
        "a stream of another router"
    );
}

/// Routers of a large fleet with their failure domains.
fn members(count: usize) -> Vec<(String, String)> {
    let member = |number| (format!("edge-zapopan-{number}"), format!("z{}", number % 5));
    (0..count).map(member).collect()
}

fn named(members: &[(String, String)]) -> impl Iterator<Item = (&str, &str)> {
    let members = members.iter();
    members.map(|(id, domain)| (id.as_str(), domain.as_str()))
}

fn owners(stream: u64, members: &[(String, String)]) -> Vec<&str> {
    let members = members.iter();
    stream_owners(
        stream,
        members.map(|(id, domain)| (id.as_str(), domain.as_str())),
    )
}

/// Guards against streams that are lost with one failure domain, and against a router that is asked
/// for more of them than others.
#[test]
fn each_stream_has_owners_in_two_domains() {
    let members = members(370);
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    for stream in 0..37_000 {
        let owners = owners(stream, &members);
        let domain = |id: &str| members.iter().find(|(member, _)| member == id).cloned();
        let domains: Vec<_> = owners.iter().map(|id| domain(id).map(|m| m.1)).collect();
        assert_eq!(owners.len(), 2);
        assert_ne!(domains[0], domains[1]);
        for owner in owners {
            *held.entry(owner).or_default() += 1;
        }
    }
    assert!(held.values().all(|count| (120..=290).contains(count)));
}

/// Guards against streams that nobody knows after the router that began them, and one of the two that
/// hold them, were lost: whoever asks without them still reaches the other one.
#[test]
fn the_loss_of_a_router_leaves_an_owner() {
    let all = members(60);
    for stream in 0..600 {
        // The router that began the stream told the owners among the others.
        let carrier = &all[(stream % 60) as usize].0;
        let others: Vec<_> = all
            .iter()
            .filter(|(id, _)| id != carrier)
            .cloned()
            .collect();
        let told = owners(stream, &others);
        // A router that asks may not know yet that the first one is gone, and is no owner itself.
        let asker = all.iter().map(|(id, _)| id);
        let mut asker = asker.filter(|id| *id != carrier && !told.contains(&id.as_str()));
        let asker = asker.next().expect("a router");
        let known: Vec<_> = all.iter().filter(|(id, _)| id != asker).cloned().collect();
        let asked = owners(stream, &known);
        let reached = asked.iter().filter(|id| told.contains(id));
        assert!(
            reached.count() > 0,
            "{stream}: told {told:?}, asked {asked:?}"
        );
    }
}

/// Guards against control traffic beyond 23 KB/s for a router of the target size, with 25 streams a
/// second at each of 370 routers, each told to three holders.
#[test]
fn the_traffic_for_holders_is_a_part_of_the_bound() {
    const BOUND: usize = 23_000;
    /// Tag, sender, incarnation, number, and the headers of UDP and IP.
    const FRAME_BYTES: usize = 16 + 20 + 6 + 4 + 28;
    const STREAMS: usize = 25;
    let origin = StreamOrigin {
        stream: u64::MAX,
        version: "v10.11".to_string(),
        age_ms: 250,
    };
    let message = PeerMessage {
        origins: vec![origin],
        ..PeerMessage::default()
    };
    assert!(!message.has_state());
    let encoded = postcard::to_allocvec(&message).expect("a message");
    let members = members(370);
    let holders = stream_holders(7, named(&members));
    let sent = holders.len() * STREAMS * (encoded.len() + FRAME_BYTES);
    println!(
        "{sent} bytes a second, {} a message",
        encoded.len() + FRAME_BYTES
    );
    assert!(sent < BOUND / 2, "{sent} bytes a second");
}

/// Guards against a large fleet in which so many routers save streams that each of them can only do so
/// every few seconds: a stream lasts a second or two.
#[test]
fn a_few_routers_of_each_domain_keep_streams() {
    for count in [86, 295, 370] {
        let mut members = members(count);
        members.sort();
        let ids = members.iter();
        let ids = ids.map(|(id, domain)| (id.as_str(), domain.as_str()));
        let keepers = stream_keepers(ids);
        assert_eq!(keepers.len(), 20, "{count} routers in five domains");
        let mut held: BTreeMap<&str, usize> = BTreeMap::new();
        for stream in 0..2_000 {
            let owners = stream_owners(stream, keepers.iter().copied());
            assert_eq!(owners.len(), 2);
            for owner in owners {
                *held.entry(owner).or_default() += 1;
            }
        }
        assert_eq!(held.len(), 20);
        assert!(
            held.values().all(|count| (130..=270).contains(count)),
            "{held:?}"
        );
    }
}

/// Guards against streams that are lost with the few routers that save them, or with two failure
/// domains, and against a third holder that is always the same.
#[test]
fn a_router_that_saves_no_streams_holds_each_stream_too() {
    const STREAMS: u64 = 5_000;
    for (count, domains) in [(31, 3), (84, 3), (370, 5), (60, 1)] {
        let mut members = members(count);
        for (number, (_, domain)) in members.iter_mut().enumerate() {
            *domain = format!("z{}", number % domains);
        }
        members.sort();
        let keepers: BTreeMap<&str, &str> = stream_keepers(named(&members)).into_iter().collect();
        let domain_of: BTreeMap<&str, &str> = named(&members).collect();
        let mut held: BTreeMap<&str, usize> = BTreeMap::new();
        for stream in 0..STREAMS {
            let holders = stream_holders(stream, named(&members));
            let found: BTreeSet<&str> = holders.iter().map(|id| domain_of[id]).collect();
            assert_eq!(holders.len(), 3);
            assert_eq!(found.len(), domains.min(3));
            let saves: Vec<bool> = holders.iter().map(|id| keepers.contains_key(id)).collect();
            assert_eq!(saves, [true, true, false]);
            *held.entry(holders[2]).or_default() += 1;
        }
        assert_eq!(held.len(), count - keepers.len());
        let share = STREAMS as usize / held.len();
        assert!(
            held.values().all(|count| *count <= 3 * share + 3),
            "{held:?}"
        );
    }
}

/// Guards against streams of which no router is told because all routers of a fleet save streams.
#[test]
fn a_fleet_of_routers_that_all_save_streams_has_three_holders() {
    let members = members(15);
    for stream in 0..100 {
        let holders: BTreeSet<&str> = stream_holders(stream, named(&members))
            .into_iter()
            .collect();
        assert_eq!(holders.len(), 3);
    }
    assert_eq!(stream_holders(1, named(&members[..2])).len(), 2);
    assert!(stream_holders(1, named(&members[..0])).is_empty());
}

/// Guards against holders that are told of hundreds of streams that ended when a service gets a second
/// version, ahead of those that run.
#[test]
fn streams_whose_callers_have_all_of_them_are_not_told() {
    let mut streams = StreamVersions::with_window(WINDOW);
    streams.record(1, "v1", at(0));
    assert!(streams.open_origin(1, at(20)).is_some(), "it may still run");
    streams.end(1, at(20));
    let late = at(24);
    assert_eq!(streams.open_origin(1, late), streams.origin(1, late));
    assert_eq!(streams.open_origin(1, at(25)), None);
    assert!(streams.origin(1, at(25)).is_some(), "it answers who asks");
    assert_eq!(streams.open_origin(2, late), None);
}

/// Guards against a message for each stream that waits to be told until the next round: callers resume
/// streams with a single event. Guards also against a burst when a service gets a second version.
#[test]
fn streams_are_told_at_once_within_a_pace() {
    let mut pace = TellPace::default();
    let mut told = 0;
    for millisecond in 0..1_000 {
        let now = at(0) + Duration::from_millis(millisecond);
        let allowance = pace.allowance(now);
        if millisecond < 8 {
            assert!(
                allowance > 0,
                "the stream of millisecond {millisecond} waits"
            );
            pace.note_told(1);
            told += 1;
            continue;
        }
        pace.note_told(allowance);
        told += allowance;
    }
    assert!((200..=300).contains(&told), "{told} streams in a second");
}

/// Guards against a stream that is not saved any longer after another router took it up.
#[test]
fn a_router_owns_a_stream_that_goes_on_there() {
    let mut streams = StreamVersions::with_window(WINDOW);
    let stream = stream_id("a1");
    let told = StreamOrigin {
        stream,
        version: "v1".to_string(),
        age_ms: 0,
    };
    streams.merge(&[told], at(0));
    assert!(streams.to_save(false, at(1)).is_empty());
    streams.record(stream, "v1", at(1));
    assert_eq!(streams.to_save(false, at(1)).len(), 1);
}

/// Guards against streams that callers take up and that other routers do not know yet, because a queue
/// of older ones is told first when a service gets a second version.
#[test]
fn the_newest_streams_are_told_first() {
    let mut news = StreamNews::default();
    for stream in 0..100 {
        news.add("svc", stream);
    }
    let find = |stream| {
        Some(StreamOrigin {
            stream,
            version: "v1".to_string(),
            age_ms: 0,
        })
    };
    let told: Vec<u64> = news
        .take(3, 1, |_| true, find)
        .iter()
        .map(|origin| origin.stream)
        .collect();
    assert_eq!(told, [99, 98, 97]);
}

/// Guards against a router that sends one message for ever, because a version that another writer saved
/// fits in none.
#[test]
fn a_version_that_fits_in_no_message_is_not_known() {
    let mut streams = StreamVersions::with_window(WINDOW);
    let stream = stream_id("a1");
    let origin = StreamOrigin {
        stream,
        version: "v".repeat(2000),
        age_ms: 0,
    };
    streams.merge(&[origin], at(0));
    assert_eq!(streams.version(stream, at(0)), None);
}

/// Guards against a stream that goes on at the version of one of two copies of its attempt, when its
/// caller has the events of the other.
#[test]
fn a_stream_that_two_versions_began_is_not_known() {
    let mut streams = StreamVersions::with_window(WINDOW);
    let stream = stream_id("a1");
    streams.record(stream, "v1", at(0));
    let other = StreamOrigin {
        stream,
        version: "v2".to_string(),
        age_ms: 0,
    };
    streams.merge(&[other], at(0));
    assert_eq!(streams.version(stream, at(1)), None);
    assert_eq!(streams.recorded_since(at(0), at(1)), []);
}
