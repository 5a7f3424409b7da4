//! Tests the HTTP clients against the fake platform, with every fault that it can inject.

use sequoiaridge_core::{Clock, Member, MemberState, Role, SystemClock};
use sequoiaridge_fakes::platform::{
    Counters, Platform, PlatformCommand, PlatformConfig, list_entry,
};
use sequoiaridge_http::{Client, ClientConfig};
use sequoiaridge_store::{
    AppendOutcome, Attribute, Claim, ClaimLedger, Cond, ConfigLog, EntryError, HttpObjectStore,
    HttpTable, ListError, MemberList, ObjectStore, Op, Row, Table, TableError,
};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

struct Fixture {
    platform: Platform,
    client: Client,
    table: Arc<HttpTable>,
    objects: Arc<HttpObjectStore>,
}

fn start(config: PlatformConfig) -> Fixture {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap(), config).unwrap();
    let client = Client::new(ClientConfig::default());
    let table = Arc::new(HttpTable::new(platform.address(), "fleet", client.clone()));
    let objects = Arc::new(HttpObjectStore::new(
        platform.address(),
        "fleet",
        client.clone(),
    ));
    Fixture {
        platform,
        client,
        table,
        objects,
    }
}

fn put(key: &str, version: u64, cond: Cond) -> Vec<Op> {
    let value = Row::new()
        .with_number("version", version)
        .with_text("note", "a \"b\" ü");
    let key = key.to_string();
    vec![Op::Put { key, value, cond }]
}

fn equals(version: u64) -> Cond {
    let value = Attribute::Number(version);
    Cond::Equals {
        attribute: "version",
        value,
    }
}

impl Fixture {
    async fn version(&self, key: &str) -> Option<u64> {
        self.table
            .get(key)
            .await
            .unwrap()
            .and_then(|row| row.number("version"))
    }
}

/// Guards against conditions, transactions, pages and attributes that client and server encode
/// differently.
#[tokio::test(flavor = "multi_thread")]
async fn operations_and_conditions_work_over_http() {
    let f = start(PlatformConfig::default());
    let table = &f.table;
    assert_eq!(table.get("config/head").await, Ok(None));
    assert_eq!(
        table.commit(put("config/head", 1, Cond::Absent), 1).await,
        Ok(())
    );
    let again = table.commit(put("config/head", 2, Cond::Absent), 2).await;
    assert_eq!(again, Err(TableError::Conflict { index: 0 }));
    let row = table.get("config/head").await.unwrap().unwrap();
    assert_eq!(row.text("note"), Some("a \"b\" ü"));
    let mut both = put("config/log/1", 1, Cond::Absent);
    both.extend(put("config/head", 3, equals(7)));
    let conflict = table.commit(both, 3).await;
    assert_eq!(conflict, Err(TableError::Conflict { index: 1 }));
    assert_eq!(f.version("config/log/1").await, None);
    for n in 0..7 {
        table
            .commit(
                put(&format!("log/a/{n}"), n, Cond::None),
                10 + u128::from(n),
            )
            .await
            .unwrap();
    }
    table
        .commit(put("log/b/0", 9, Cond::None), 30)
        .await
        .unwrap();
    let (mut found, mut after) = (0, None);
    loop {
        let page = table.scan("log/a/", after.as_deref(), 3).await.unwrap();
        found += page.rows.len();
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(
        (
            found,
            table.scan("log/", None, 100).await.unwrap().rows.len()
        ),
        (7, 8)
    );
    let (key, cond) = ("config/head".to_string(), equals(1));
    assert_eq!(
        table.commit(vec![Op::Delete { key, cond }], 40).await,
        Ok(())
    );
    assert_eq!(f.version("config/head").await, None);
    let no_partition = table.commit(put("head", 1, Cond::None), 41).await;
    assert_eq!(no_partition, Err(TableError::Refused));
}

/// Guards against a write that is reported as refused but took effect, and against a repeated
/// transaction that takes effect twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_dropped_and_delayed_writes_are_unknown() {
    let f = start(PlatformConfig::default());
    f.platform.apply(PlatformCommand::LoseAnswers { count: 1 });
    let lost = f.table.commit(put("a/lost", 1, Cond::Absent), 1).await;
    assert_eq!(
        (lost, f.version("a/lost").await),
        (Err(TableError::Unknown), Some(1))
    );
    let (ops, other) = (
        put("a/lost", 1, Cond::Absent),
        put("a/lost", 2, Cond::Absent),
    );
    assert_eq!(f.table.commit(ops.clone(), 1).await, Ok(()));
    assert_eq!(f.table.commit(other, 1).await, Err(TableError::Refused));
    assert_eq!(
        f.table.commit(ops, 2).await,
        Err(TableError::Conflict { index: 0 })
    );

    f.platform.apply(PlatformCommand::DropWrites { count: 1 });
    let dropped = f.table.commit(put("a/dropped", 1, Cond::Absent), 3).await;
    assert_eq!(
        (dropped, f.version("a/dropped").await),
        (Err(TableError::Unknown), None)
    );

    f.platform.apply(PlatformCommand::DelayWrites {
        ms: 1_000,
        count: 1,
    });
    let delayed = f.table.commit(put("a/delayed", 1, Cond::Absent), 4).await;
    assert_eq!(
        (delayed, f.version("a/delayed").await),
        (Err(TableError::Unknown), None)
    );
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(f.version("a/delayed").await, Some(1));

    f.platform.apply(PlatformCommand::LoseAnswers { count: 1 });
    assert!(f.objects.put("x/lost", "1".into()).await.is_err());
    assert_eq!(f.objects.get("x/lost").await, Ok(Some("1".into())));
    for name in ["answers/amber/ü key?#%", "answers/amber/../k"] {
        f.objects.put(name, name.to_string().into()).await.unwrap();
        assert_eq!(f.objects.get(name).await, Ok(Some(name.to_string().into())));
    }
    assert_eq!(f.objects.get("x/none").await, Ok(None));
}

/// Guards against a call that takes longer than its timeout, and against a client that keeps
/// failing after the platform has recovered.
#[tokio::test(flavor = "multi_thread")]
async fn outage_silence_and_slowness_end_and_recover() {
    let f = start(PlatformConfig::default());
    let slow = |ms| PlatformCommand::Slow { ms };
    for (order, longest) in [
        (PlatformCommand::Outage, Duration::from_millis(1_500)),
        (PlatformCommand::Silent, Duration::from_millis(2_500)),
        (slow(3_000), Duration::from_millis(2_500)),
    ] {
        f.platform.apply(order.clone());
        let begin = Instant::now();
        let ops = put("a/row", 1, Cond::Absent);
        let (write, read) = tokio::join!(f.table.commit(ops, 1), f.table.get("a/row"));
        assert_eq!(
            (write, read),
            (Err(TableError::Unknown), Err(TableError::Unknown))
        );
        assert!(
            begin.elapsed() < longest,
            "{order:?} took {:?}",
            begin.elapsed()
        );
        f.platform.apply(PlatformCommand::Heal);
        let begin = Instant::now();
        assert_eq!(f.version("a/row").await, None, "{order:?}");
        assert!(
            begin.elapsed() < Duration::from_millis(1_500),
            "slow after {order:?}"
        );
    }
    f.platform.apply(slow(100));
    let begin = Instant::now();
    assert_eq!(f.version("a/row").await, None);
    assert!(begin.elapsed() >= Duration::from_millis(100));
}

/// Guards against a pool that keeps using a connection that has gone silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_closed_and_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed, mut closes) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        for connection in 0.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let closed = closed.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                let mut requests = 0;
                while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {
                    requests += 1;
                    // The first connection responds once and is silent after that.
                    if connection > 0 || requests == 1 {
                        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                        stream.write_all(answer).await.unwrap();
                    }
                }
                let _ = closed.send((connection, requests));
            });
        }
    });
    let table = HttpTable::new(address, "fleet", Client::new(ClientConfig::default()));
    assert_eq!(table.get("a/1").await, Ok(None));
    // The connection is returned to the pool by a separate task, which a busy host delays.
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(table.get("a/2").await, Err(TableError::Unknown));
    for _ in 0..3 {
        assert_eq!(table.get("a/3").await, Ok(None));
    }
    let first = tokio::time::timeout(Duration::from_secs(1), closes.recv()).await;
    assert_eq!(first, Ok(Some((0, 2))));
}

/// Guards against reporting a throttled call as one with an unknown outcome, and against wrong
/// counters.
#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_limits_are_refused() {
    let f = start(PlatformConfig {
        writes: Some(1),
        reads: Some(1),
        ..PlatformConfig::default()
    });
    let mut refused = 0;
    for n in 0..10 {
        match f
            .table
            .commit(put(&format!("a/{n}"), 1, Cond::Absent), n)
            .await
        {
            Ok(()) => {}
            Err(error) => {
                assert_eq!(error, TableError::Refused);
                refused += 1;
            }
        }
    }
    assert!((1..=9).contains(&refused), "{refused} refused");
    f.platform.apply(PlatformCommand::Limits {
        writes: None,
        reads: None,
    });
    assert_eq!(
        f.table.commit(put("a/more", 1, Cond::Absent), 99).await,
        Ok(())
    );
    let counters = f.platform.counters();
    let written = 11 - refused;
    assert_eq!(
        (counters.throttled, counters.transactions),
        (refused, written)
    );
}

fn member(id: &str) -> Member {
    Member {
        id: id.to_string(),
        role: Role::Service,
        domain: "bahla-b".to_string(),
        region: "nizwa".to_string(),
        state: MemberState::Leaving,
        address: "127.0.0.1:9000".parse().unwrap(),
        serves: vec!["orders".to_string(), "mail".to_string()],
        capacity: 4,
        deduplicates: true,
    }
}

/// Guards against one bad entry that hides the others, and against a fake list that does not lag.
#[tokio::test(flavor = "multi_thread")]
async fn bad_entries_of_the_list_are_reported_and_left_out() {
    let f = start(PlatformConfig {
        members: vec![list_entry(&member("a"))],
        ..PlatformConfig::default()
    });
    let list = MemberList::new(f.platform.address(), f.client.clone());
    assert_eq!(list.fetch().await.unwrap().list.members, [member("a")]);
    let mut entries: Vec<_> = ["a", "b", "c", "b"]
        .map(|id| list_entry(&member(id)))
        .into();
    entries[1]["labels"]["state"] = "asleep".into();
    entries[2]["targets"] = serde_json::json!(["host:1", "host:2"]);
    entries.push(serde_json::json!(7));
    entries.push(entries[0].clone());
    f.platform.apply(PlatformCommand::ListLag { ms: 1_000 });
    f.platform
        .apply(PlatformCommand::Members { members: entries });
    assert_eq!(list.fetch().await.unwrap().list.problems, []);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let fetched = list.fetch().await.unwrap().list;
    assert_eq!(fetched.members, [member("a"), member("b")]);
    let (index, label) = (1, "state");
    let expected = [
        EntryError::Label { index, label },
        EntryError::Target { index: 2 },
        EntryError::Malformed { index: 4 },
        EntryError::Repeated {
            index: 5,
            id: "a".to_string(),
        },
    ];
    assert_eq!(fetched.problems, expected);
    let again = list.fetch().await.unwrap();
    assert!(!again.changed, "an unchanged list counts as changed");
    assert_eq!(
        (again.bytes, &again.list),
        (0, &fetched),
        "an unchanged list was transferred again"
    );
    f.platform.apply(PlatformCommand::Outage);
    assert_eq!(list.fetch().await, Err(ListError::Status(503)));
}

/// Guards against a lost response that turns a claim or a change into a refusal or a second write.
#[tokio::test(flavor = "multi_thread")]
async fn claims_and_changes_survive_lost_answers_over_http() {
    let f = start(PlatformConfig::default());
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let ledger = ClaimLedger::new(f.table.clone(), f.objects.clone(), clock.clone());
    let log = ConfigLog::new(f.table.clone(), f.objects.clone(), clock.clone());
    let customer = "amber".to_string();
    let orders = [
        PlatformCommand::LoseAnswers { count: 2 },
        PlatformCommand::DropWrites { count: 2 },
        PlatformCommand::DelayWrites { ms: 200, count: 2 },
    ];
    for (n, order) in orders.into_iter().enumerate() {
        f.platform.apply(order.clone());
        let deadline = clock.now() + Duration::from_secs(5);
        let claim = ledger
            .claim(&customer, &format!("key-{n}"), [1; 32], deadline)
            .await;
        assert!(matches!(claim, Ok(Claim::Held(_))), "{order:?}: {claim:?}");
        f.platform.apply(order.clone());
        let change = serde_json::from_value(serde_json::json!({
            "set-customer": { "name": format!("c{n}"), "customer": { "tokens": [] } },
        }));
        let outcome = log.append(n as u64, &change.unwrap()).await;
        assert_eq!(
            outcome,
            Ok(AppendOutcome::Committed(n as u64 + 1)),
            "{order:?}"
        );
        f.platform.apply(PlatformCommand::Heal);
    }
    assert_eq!(log.load().await.unwrap().customers.len(), 3);
}

/// Guards against faults that tests of a whole fleet cannot inject over HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn failures_can_be_ordered_over_http() {
    let f = start(PlatformConfig::default());
    let headers = hyper::HeaderMap::new();
    let send_control = async |method: hyper::Method, body: &'static str| {
        let (server, body) = (f.platform.address(), body.into());
        let answer = f
            .client
            .send(server, method, "/control", &headers, body)
            .await
            .unwrap();
        (answer.status.as_u16(), answer.bytes(10_000).await.unwrap())
    };
    let orders = [
        r#"{"order":"slow","ms":1}"#,
        r#"{"order":"lose_answers","count":1}"#,
        r#"{"order":"drop_writes","count":1}"#,
        r#"{"order":"delay_writes","ms":5}"#,
        r#"{"order":"members","members":[]}"#,
        r#"{"order":"list_lag","ms":5}"#,
        r#"{"order":"limits","writes":5}"#,
        r#"{"order":"silent"}"#,
        r#"{"order":"outage"}"#,
    ];
    for order in orders {
        assert_eq!(
            send_control(hyper::Method::POST, order).await.0,
            200,
            "{order}"
        );
    }
    assert_eq!(
        send_control(hyper::Method::POST, r#"{"order":"sleep"}"#)
            .await
            .0,
        400
    );
    assert_eq!(f.table.get("a/b").await, Err(TableError::Unknown));
    send_control(hyper::Method::POST, r#"{"order":"heal"}"#).await;
    assert_eq!(f.table.get("a/b").await, Ok(None));
    let (_, counters) = send_control(hyper::Method::GET, "").await;
    let counters: Counters = serde_json::from_slice(&counters).unwrap();
    assert_eq!(counters.reads, 1);
}
