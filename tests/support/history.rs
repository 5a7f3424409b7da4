//! Records who asked what and which answer came, and checks it against the services' journals.

use super::fleet::Fleet;
use sequoiaridge::fakes::service::expected_answer;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a caller was told about one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The answer; services answer in text.
    Done(String),
    NotRun,
    /// Also an attempt whose connection broke.
    MayHaveRun,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub router: usize,
    pub asked: Duration,
    pub answered: Duration,
    pub told: Told,
    /// Reason of a refusal.
    pub reason: String,
}

/// The attempts on every key.
pub struct History {
    start: Instant,
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
}

impl History {
    pub fn new() -> History {
        History {
            start: Instant::now(),
            attempts: Mutex::default(),
        }
    }

    /// Body of the order that is booked under a key; every attempt on the key sends the same.
    pub fn order(key: &str) -> String {
        serde_json::json!({ "item": "masa", "for": key }).to_string()
    }

    /// Makes one attempt and records it.
    pub async fn book(&self, fleet: &Fleet, router: usize, key: &str) -> Told {
        let order = History::order(key);
        let asked = self.start.elapsed();
        let sent = fleet.caller.book(fleet.callers(router), key, &order);
        let (told, reason) = match sent.await {
            Ok(reply) if reply.broken.is_none() => {
                let told = match reply.verdict() {
                    "done" => Told::Done(reply.text()),
                    "not-run" => Told::NotRun,
                    "may-have-run" => Told::MayHaveRun,
                    other => panic!("verdict {other:?}: {}", reply.text()),
                };
                (told, reply.header("x-refusal").to_string())
            }
            Ok(reply) => (Told::MayHaveRun, format!("{:?}", reply.broken)),
            Err(error) if error.verdict() == sequoiaridge::core::Verdict::NotRun => {
                (Told::NotRun, error.to_string())
            }
            Err(error) => (Told::MayHaveRun, error.to_string()),
        };
        let attempt = Attempt {
            router,
            asked,
            answered: self.start.elapsed(),
            told: told.clone(),
            reason,
        };
        let mut attempts = self.attempts.lock().unwrap();
        attempts.entry(key.to_string()).or_default().push(attempt);
        told
    }

    /// Repeats a key through the given routers in turn until one answers `done`, at most `times`.
    pub async fn book_until_done(
        &self,
        fleet: &Fleet,
        routers: &[usize],
        key: &str,
        times: usize,
    ) -> bool {
        for router in routers.iter().cycle().take(times) {
            if matches!(self.book(fleet, *router, key).await, Told::Done(_)) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Checks that no attempt got this answer.
    pub fn none_was(&self, told: Told) {
        let attempts = self.attempts.lock().unwrap();
        let all = attempts.iter();
        let all = all.flat_map(|(key, attempts)| attempts.iter().map(move |a| (key, a)));
        let wrong: Vec<_> = all.filter(|(_, a)| a.told == told).collect();
        assert!(wrong.is_empty(), "told {told:?}: {wrong:#?}");
    }

    /// Checks every key against the journals of the fleet's services:
    ///
    /// * no key ran twice, and none ran with another body than the one that was asked;
    /// * a `done` answer is the service's answer, and then the key ran;
    /// * a key of which every attempt was told `not-run` did not run.
    pub async fn check(&self, fleet: &Fleet) {
        let journal = fleet.journal().await;
        let attempts = self.attempts.lock().unwrap();
        let mut faults = Vec::new();
        for entry in &journal {
            if !attempts.contains_key(&entry.key) || entry.body != History::order(&entry.key) {
                faults.push(format!("the service ran what nobody asked: {entry:?}"));
            }
        }
        for (key, attempts) in attempts.iter() {
            let of_key = journal.iter().filter(|entry| entry.key == *key);
            let runs: u64 = of_key.map(|entry| entry.runs).sum();
            let order = History::order(key);
            let answer = expected_answer("booking", "POST", "/orders", order.as_bytes());
            let answer = String::from_utf8(answer).expect("text");
            let done = |a: &Attempt| matches!(a.told, Told::Done(_));
            let wrong = |a: &Attempt| matches!(&a.told, Told::Done(body) if *body != answer);
            if runs > 1 {
                faults.push(format!("{key} ran {runs} times: {attempts:?}"));
            }
            if attempts.iter().any(wrong) {
                faults.push(format!("{key} got another answer: {attempts:?}"));
            }
            if attempts.iter().any(done) && runs == 0 {
                faults.push(format!("{key} is done and never ran: {attempts:?}"));
            }
            if runs > 0 && attempts.iter().all(|a| a.told == Told::NotRun) {
                faults.push(format!(
                    "{key} ran and every attempt was not-run: {attempts:?}"
                ));
            }
        }
        assert!(faults.is_empty(), "{}", faults.join("\n"));
    }
}
