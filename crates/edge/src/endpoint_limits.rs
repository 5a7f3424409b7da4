//! Limits that endpoints in need name in their answers: the requests per second that they take from all
//! routers together. See docs/design/endpoint-limits.md.

mod named;
mod share;
mod tokens;

pub use named::{LimitChange, LimitNotice, LimitReport, NamedLimit, NamedLimits};
pub use share::LimitShare;

use crate::constraints::KnownRouters;
use sequoiaridge_core::EndpointId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokens::Tokens;

/// Time after which the share at an endpoint that no request asked for is dropped. It is longer than the time
/// in which the share of a low limit returns.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// A start of an endpoint with the limit that it named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitedEndpoint<'a> {
    /// The endpoint.
    pub id: &'a str,
    /// Its boot id.
    pub boot: &'a str,
    /// Requests per second that it takes from all routers.
    pub per_second: f64,
}

/// What a request to a limited endpoint may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRoom {
    /// This router's share of the limit.
    Share,
    /// What the operators' bound leaves beyond the limit, for requests that would otherwise be refused or
    /// wait for a slot.
    Overdraft,
    /// Nothing: it may not be sent.
    Exhausted,
}

/// What a share was derived from.
#[derive(Clone, Debug, PartialEq)]
struct Basis {
    boot: String,
    per_second: f64,
    revision: u64,
}

/// This router's share at one endpoint.
#[derive(Clone, Debug)]
struct Sender {
    basis: Basis,
    tokens: Tokens,
    /// When a request last asked for the endpoint.
    asked_at: Duration,
}

/// Keeps the requests of one router to limited endpoints within its share. Without I/O.
#[derive(Clone, Debug, Default)]
pub struct LimitSenders {
    senders: BTreeMap<EndpointId, Sender>,
}

impl LimitSenders {
    /// Creates senders that have sent nothing.
    pub fn new() -> LimitSenders {
        LimitSenders::default()
    }

    /// What a request to a limited endpoint may use now.
    pub fn room(
        &mut self,
        endpoint: &LimitedEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> LimitRoom {
        self.tokens(endpoint, routers, now).room(now)
    }

    /// Counts a request that is sent to a limited endpoint now.
    pub fn record_send(
        &mut self,
        endpoint: &LimitedEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) {
        self.tokens(endpoint, routers, now).take(now);
    }

    /// Drops what no longer limits anything.
    pub fn expire(&mut self, now: Duration) {
        self.senders
            .retain(|_, sender| now < sender.asked_at + IDLE_TIME);
    }

    /// The tokens of a limited endpoint. The share is derived again only when the limit, the start of the
    /// endpoint or the list of routers changed, since that ranks all routers.
    fn tokens(
        &mut self,
        endpoint: &LimitedEndpoint<'_>,
        routers: &KnownRouters,
        now: Duration,
    ) -> &mut Tokens {
        let share = || LimitShare::of_router(endpoint, routers);
        let basis = || Basis {
            boot: endpoint.boot.to_string(),
            per_second: endpoint.per_second,
            revision: routers.revision(),
        };
        if !self.senders.contains_key(endpoint.id) {
            let sender = Sender {
                basis: basis(),
                tokens: Tokens::new(share(), now),
                asked_at: now,
            };
            self.senders.insert(endpoint.id.to_string(), sender);
        }
        let sender = self.senders.get_mut(endpoint.id);
        let sender = sender.expect("was inserted above");
        sender.asked_at = now;
        let is_known = sender.basis.boot == endpoint.boot
            && sender.basis.per_second == endpoint.per_second
            && sender.basis.revision == routers.revision();
        if !is_known {
            sender.basis = basis();
            sender.tokens.set_share(share(), now);
        }
        &mut sender.tokens
    }
}
