//! The callers of a soak run.

use super::support::client::{Answer, Caller};
use super::support::crashing::{CRASH_PART, PART_PATH};
use super::{CRASHING_PARTS, SOUND_PARTS};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An attempt as its caller saw it. There is no answer if none came in time, or before the callers
/// were stopped.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub router: usize,
    pub sent: Instant,
    pub answered: Option<Instant>,
    pub answer: Option<Answer>,
}

/// The attempts of all callers, by attempt id.
pub type Attempts = Arc<Mutex<BTreeMap<String, Attempt>>>;

/// Sends requests of all kinds to the routers until the task is aborted. A connection is reused
/// until it breaks or is closed; with a probability of 0.1 the caller changes to a random router
/// before a request.
pub async fn run_caller(seed: u64, caller: usize, routers: Vec<SocketAddr>, attempts: Attempts) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller as u64);
    let mut connection: Option<Caller> = None;
    let mut router = 0;
    for number in 0.. {
        let kinds = ["read", "order", "chat", "talk"];
        let kind = *kinds.choose(&mut rng).expect("a kind");
        let id = format!("{kind}-{caller}-{number}");
        if connection.is_none() || rng.random_bool(0.1) {
            router = rng.random_range(0..routers.len());
            connection = Caller::connect(routers[router]).await;
        }
        let Some(open) = &mut connection else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mut attempt = Attempt {
            router,
            sent: Instant::now(),
            answered: None,
            answer: None,
        };
        attempts
            .lock()
            .expect("attempts")
            .insert(id.clone(), attempt.clone());
        // Caller 0 repeats the requests that end servers.
        let repeats = caller == 0 && (kind == "order" || kind == "chat");
        // Caller 1 sends requests with a part that ends servers, no two of them alike.
        let has_part = caller == 1 && kind == "chat" && rng.random_bool(0.5);
        let path = match (repeats, has_part) {
            (true, _) => format!("/{kind}/{CRASH_PART}"),
            (_, true) => format!("{PART_PATH}{number}"),
            _ => format!("/{kind}/{number}"),
        };
        let parts = if has_part {
            CRASHING_PARTS
        } else {
            SOUND_PARTS
        };
        let headers = match kind {
            "chat" | "talk" => format!(
                "Model: m\r\nToken-Usage: 1500,80\r\nPrompt-Prefix: {parts},{caller}{number}:50\r\n"
            ),
            _ => String::new(),
        };
        let body = if caller == 0 { "the same" } else { &id };
        let exchange = async {
            open.send(&path, &id, &headers, &format!("body of {body}"))
                .await?;
            open.answer().await
        };
        let answer = tokio::time::timeout(Duration::from_secs(4), exchange).await;
        let answer = answer.ok().flatten();
        let reusable = answer
            .as_ref()
            .is_some_and(|answer| answer.complete && answer.header("connection") != "close");
        if !reusable {
            connection = None;
        }
        attempt.answered = answer.is_some().then(Instant::now);
        attempt.answer = answer;
        attempts.lock().expect("attempts").insert(id, attempt);
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}
