//! Records the attempts of callers and their outcomes, and checks them against the journals of the
//! services.

use super::fleet::Fleet;
use sequoiaridge::fakes::service::expected_answer;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Outcome of one attempt, as the caller learned it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered, with this text.
    Done(String),
    /// The call was refused as not run, or could not be sent.
    NotRun,
    /// The call may have run. This is also the outcome if the connection broke.
    MayHaveRun,
}

/// One attempt of a caller. Its times are counted from the start of the history.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub router: usize,
    pub sent: Duration,
    pub answered: Duration,
    pub outcome: Outcome,
    /// Reason of a refusal, or the error of the connection.
    pub reason: String,
}

/// The attempts with each idempotency key.
pub struct History {
    start: Instant,
    attempts: Mutex<BTreeMap<String, Vec<Attempt>>>,
}

impl History {
    /// Creates an empty history that starts now.
    pub fn new() -> History {
        History {
            start: Instant::now(),
            attempts: Mutex::default(),
        }
    }

    /// Returns the body of the order that is booked with a key. Every attempt with the key sends
    /// the same body.
    pub fn order_body(key: &str) -> String {
        serde_json::json!({ "item": "masa", "for": key }).to_string()
    }

    /// Makes one attempt and records it.
    pub async fn book(&self, fleet: &Fleet, router: usize, key: &str) -> Outcome {
        let order = History::order_body(key);
        let sent = self.start.elapsed();
        let call = fleet.caller.book(fleet.caller_address(router), key, &order);
        let (outcome, reason) = match call.await {
            Ok(reply) if reply.body_error.is_none() => {
                let outcome = match reply.verdict() {
                    "done" => Outcome::Done(reply.text()),
                    "not-run" => Outcome::NotRun,
                    "may-have-run" => Outcome::MayHaveRun,
                    other => panic!("unknown verdict {other:?}: {}", reply.text()),
                };
                (outcome, reply.header("x-refusal").to_string())
            }
            Ok(reply) => (Outcome::MayHaveRun, format!("{:?}", reply.body_error)),
            Err(error) if error.verdict() == sequoiaridge::core::Verdict::NotRun => {
                (Outcome::NotRun, error.to_string())
            }
            Err(error) => (Outcome::MayHaveRun, error.to_string()),
        };
        let attempt = Attempt {
            router,
            sent,
            answered: self.start.elapsed(),
            outcome: outcome.clone(),
            reason,
        };
        let mut attempts = self.attempts.lock().unwrap();
        attempts.entry(key.to_string()).or_default().push(attempt);
        outcome
    }

    /// Repeats a key through the given routers in turn until one answers `done`, at most `times`
    /// times. Returns whether one did.
    pub async fn book_until_done(
        &self,
        fleet: &Fleet,
        routers: &[usize],
        key: &str,
        times: usize,
    ) -> bool {
        for router in routers.iter().cycle().take(times) {
            if matches!(self.book(fleet, *router, key).await, Outcome::Done(_)) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }

    /// Describes the outcomes of the attempts with a key, for messages.
    pub fn describe(&self, key: &str) -> String {
        let attempts = self.attempts.lock().unwrap();
        let attempts = attempts.get(key).into_iter().flatten();
        let lines = attempts.map(|a| format!("{:.1?} at {}: {}", a.answered, a.router, a.reason));
        lines.collect::<Vec<_>>().join(", ")
    }

    /// Checks that no attempt had this outcome.
    pub fn assert_none(&self, outcome: Outcome) {
        let attempts = self.attempts.lock().unwrap();
        let all = attempts.iter();
        let all = all.flat_map(|(key, attempts)| attempts.iter().map(move |a| (key, a)));
        let wrong: Vec<_> = all.filter(|(_, a)| a.outcome == outcome).collect();
        assert!(
            wrong.is_empty(),
            "attempts with the outcome {outcome:?}: {wrong:#?}"
        );
    }

    /// Checks every key against the journals of the fleet's services:
    ///
    /// * no key ran twice, and none ran with another body than the one that was sent;
    /// * a `done` answer is the service's answer to that body, and the key ran;
    /// * a key whose attempts were all refused as `not-run` did not run.
    pub async fn check(&self, fleet: &Fleet) {
        let journal = fleet.journal().await;
        let attempts = self.attempts.lock().unwrap();
        let mut violations = Vec::new();
        for entry in &journal {
            if !attempts.contains_key(&entry.key) || entry.body != History::order_body(&entry.key) {
                violations.push(format!("a service ran a call that nobody sent: {entry:?}"));
            }
        }
        for (key, attempts) in attempts.iter() {
            let of_key = journal.iter().filter(|entry| entry.key == *key);
            let runs: u64 = of_key.map(|entry| entry.runs).sum();
            let order = History::order_body(key);
            let answer = expected_answer("booking", "POST", "/orders", order.as_bytes());
            let answer = String::from_utf8(answer).expect("text");
            let done = |a: &Attempt| matches!(a.outcome, Outcome::Done(_));
            let wrong = |a: &Attempt| matches!(&a.outcome, Outcome::Done(body) if *body != answer);
            if runs > 1 {
                violations.push(format!("{key} ran {runs} times: {attempts:?}"));
            }
            if attempts.iter().any(wrong) {
                violations.push(format!("{key} got a wrong answer: {attempts:?}"));
            }
            if attempts.iter().any(done) && runs == 0 {
                violations.push(format!(
                    "{key} was answered as done but never ran: {attempts:?}"
                ));
            }
            if runs > 0 && attempts.iter().all(|a| a.outcome == Outcome::NotRun) {
                violations.push(format!(
                    "{key} ran although every attempt was refused as not-run: {attempts:?}"
                ));
            }
        }
        assert!(violations.is_empty(), "{}", violations.join("\n"));
    }
}
