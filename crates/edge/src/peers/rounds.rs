//! What a router sends to the others, to whom, and when.

use super::{Links, PERIOD, Peer};
use crate::feed::Feed;
use crate::follower::{Known, Mark};
use crate::load::Work;
use crate::registry::Table;
use crate::relays::{pick_relays, scaled_period};
use crate::shared::SMALL_FLEET;
use crate::tell::Tell;
use rand::seq::IteratorRandom;
use sequoiaridge_core::{DomainId, EndpointId, Event, RouterId};
use sequoiaridge_log::log;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Pause between messages in a large fleet, where each goes to some routers drawn anew: to these of the
/// own domain and to these of others. What a router sends does not grow with the fleet, and what one
/// knows, hundreds know after four rounds.
const LARGE_PERIOD: Duration = Duration::from_millis(250);
const NEAR: usize = 3;
const FAR: usize = 1;
/// Pause between messages that tell nothing new.
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// Pause between messages to a router that is not heard, at first and after `RECENT`.
const UNHEARD_PERIOD: Duration = Duration::from_secs(1);
const SILENT_PERIOD: Duration = Duration::from_secs(10);
const RECENT: Duration = Duration::from_secs(10);
/// Time after which a router that is not heard is forgotten: it was replaced, and its row stays in the
/// registry. Cuts between domains last minutes.
const FORGET: Duration = Duration::from_secs(600);
/// Pause between messages with news in a large fleet.
const NEWS_PERIOD: Duration = Duration::from_secs(1);
/// Least time after which a router counts as not heard, and the same in messages that should have come.
const LIFE: Duration = Duration::from_millis(1500);
const LIFE_PACES: u32 = 4;
/// Routers of each other domain, those heard last, among which relays are drawn.
const RELAYS: usize = 12;
/// Pause between observations of the age of the news.
const OBSERVE: Duration = Duration::from_secs(1);

impl Links {
    /// Sends what is new to the routers that are heard, and a sign of life to the others.
    pub(super) fn tell(&mut self) {
        let now = self.shared.now();
        let pace = self.pace();
        let life = self.life();
        let count = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(now, life))
            .count();
        let routers = i64::try_from(count + 1).unwrap_or(i64::MAX);
        self.shared.metrics.routers.set(routers);
        let mut board = self.shared.board();
        board.loads.expire(now, life);
        board.heat.expire(now);
        board.loads.rely_on_reports(self.peers.len() >= SMALL_FLEET);
        drop(board);
        if let Some(datagram) = self.round(now, pace) {
            self.partners(now, life)
                .into_iter()
                .for_each(|address| send(&self.socket, &datagram, address));
        }
        self.ask(now);
        self.observe(now);
        self.tell_news(now);
        self.tell_crashes(now);
        self.tell_unheard(now, life);
    }

    /// The routers that a round goes to: all that are heard in a small fleet, some of them in a large one.
    fn partners(&self, now: Duration, life: Duration) -> Vec<SocketAddr> {
        let own = &self.shared.settings.domain;
        let heard = || self.peers.values().filter(|peer| peer.is_heard(now, life));
        if !self.is_large() {
            return heard().map(|peer| peer.address).collect();
        }
        let (mut rng, address) = (rand::rng(), |peer: &Peer| peer.address);
        let near = heard().filter(|peer| peer.domain == *own);
        let mut partners = near.map(address).sample(&mut rng, NEAR);
        let far = heard().filter(|peer| peer.domain != *own);
        partners.extend(far.map(address).sample(&mut rng, FAR));
        partners
    }

    /// Asks a router for the changes of endpoints that are missing here.
    fn ask(&self, now: Duration) {
        let mut board = self.shared.board();
        let Some(mark) = board.endpoints.ask(now) else {
            return;
        };
        let own = &self.shared.settings.domain;
        let ahead = || {
            let contacts = board.contacts.values();
            contacts.filter(|contact| contact.endpoints.is_some_and(|known| known > mark))
        };
        let near = ahead().filter(|contact| contact.domain == *own);
        let near = near.choose(&mut rand::rng());
        let drawn = near.or_else(|| ahead().choose(&mut rand::rng()));
        let Some(address) = drawn.map(|contact| contact.address) else {
            return;
        };
        drop(board);
        let tell = Tell {
            ask: Some(mark),
            ..self.base()
        };
        self.send_all(&tell, &[address]);
    }

    /// Gives a router the changes of endpoints that it lacks.
    pub(super) fn give(&self, mark: Mark, to: SocketAddr) {
        let now = self.shared.now();
        let feed = self.shared.board().endpoints.since(mark, now);
        let Some(feed) = feed else {
            return;
        };
        self.shared.metrics.repairs.inc();
        for part in feed.into_parts() {
            let tell = Tell {
                feed: Some(part),
                ..self.base()
            };
            self.send_all(&tell, &[to]);
        }
    }

    /// Observes the age of the news about endpoints, and logs when they turn too old or fresh.
    fn observe(&mut self, now: Duration) {
        if now < self.observed_at + OBSERVE {
            return;
        }
        self.observed_at = now;
        let Some(age) = self.shared.board().endpoints.age(now) else {
            return;
        };
        self.shared.metrics.news_age.observe(age.as_secs_f64());
        let is_old = age > self.shared.settings.leave_bound;
        if is_old != self.is_old {
            self.is_old = is_old;
            let event = if is_old {
                Event::NewsOld
            } else {
                Event::NewsFresh
            };
            let detail = format!(
                "table={} age_ms={}",
                Table::Endpoints.as_str(),
                age.as_millis()
            );
            log(event, &detail);
        }
    }

    /// Sends a sign of life to routers that are not heard, and forgets those that were not for long.
    fn tell_unheard(&mut self, now: Duration, life: Duration) {
        let peers = &mut self.peers;
        peers.retain(|_, peer| now < peer.since + FORGET);
        let mut board = self.shared.board();
        if board.contacts.len() > peers.len() {
            board.contacts.retain(|id, _| peers.contains_key(id));
            self.crash_sync.keep(|id| peers.contains_key(id));
        }
        drop(board);
        let due = |peer: &Peer| {
            let recent = now < peer.since + RECENT;
            let period = if recent {
                UNHEARD_PERIOD
            } else {
                SILENT_PERIOD
            };
            peer.sent.is_none_or(|sent| now >= sent + period)
        };
        if self
            .peers
            .values()
            .any(|peer| !peer.is_heard(now, life) && due(peer))
        {
            let Some(datagram) = self.seal(&self.base()) else {
                return;
            };
            for peer in self.peers.values_mut() {
                if !peer.is_heard(now, life) && due(peer) {
                    peer.sent = Some(now);
                    send(&self.socket, &datagram, peer.address);
                }
            }
        }
    }

    /// Sends what is new through the domains, when it is due in a large fleet.
    fn tell_news(&mut self, now: Duration) {
        let due = now >= self.news_at + scaled_period(NEWS_PERIOD, self.peers.len());
        let urgent = self.shared.board().news.is_urgent();
        if !self.is_large() || !due && !urgent {
            return;
        }
        self.news_at = now;
        let mut tell = self.base();
        self.shared.board().news.fill(&mut tell, now);
        if tell.has_news() {
            self.spread(tell);
        }
    }

    /// Tells crashes again to a router that does not know them.
    fn tell_crashes(&mut self, now: Duration) {
        let Some(id) = self.crash_sync.due(now, &mut rand::rng()) else {
            return;
        };
        let crashes = {
            let board = self.shared.board();
            self.crash_sync.page(&board.quarantine, now)
        };
        if crashes.is_empty() {
            return;
        }
        let Some(address) = self.peers.get(&id).map(|peer| peer.address) else {
            return;
        };
        let tell = Tell {
            crashes,
            ..self.base()
        };
        self.send_all(&tell, &[address]);
    }

    /// Pause between rounds of messages.
    fn pace(&self) -> Duration {
        if self.is_large() {
            LARGE_PERIOD
        } else {
            PERIOD
        }
    }

    /// Whether messages go to some routers only.
    fn is_large(&self) -> bool {
        self.peers.len() >= SMALL_FLEET
    }

    /// Time after which a router counts as not heard.
    pub(super) fn life(&self) -> Duration {
        let rounds = if self.is_large() {
            self.peers.len() / FAR
        } else {
            1
        };
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        LIFE.max(self.pace() * rounds * LIFE_PACES)
    }

    /// The message of a round, if one is due and tells something new or a sign of life.
    fn round(&mut self, now: Duration, pace: Duration) -> Option<Vec<u8>> {
        let last = self.told.as_ref().map(|(at, _)| *at);
        // Ticks come a little early or late.
        if last.is_some_and(|last| now + PERIOD / 4 < last + pace) {
            return None;
        }
        let mut message = self.message();
        // How old the news are, and up to which position, says nothing new by itself.
        let mut compared = message.clone();
        compared.endpoints = None;
        compared.configuration = compared
            .configuration
            .map(|known| Known { age: 0, ..known });
        if let Some((at, told)) = &self.told
            && *told == compared
            && now < *at + QUIET_PERIOD
        {
            return None;
        }
        self.told = Some((now, compared));
        message.introduces = self.introduction(now);
        self.seal(&message)
    }

    /// One of the routers that are heard, drawn anew for each message.
    fn introduction(&self, now: Duration) -> Option<(RouterId, SocketAddr, DomainId)> {
        let life = self.life();
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_heard(now, life));
        let drawn = heard.choose(&mut rand::rng());
        drawn.map(|(id, peer)| (id.clone(), peer.address, peer.domain.clone()))
    }

    fn seal(&self, tell: &Tell) -> Option<Vec<u8>> {
        match self.sealer.seal(tell) {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                log(Event::PeerRejected, &format!("own message: {error}"));
                None
            }
        }
    }

    /// Sends what was read from the registry, or that nothing changed.
    pub(super) fn pass_on(&self, feed: Option<Feed>) {
        let parts = feed.map_or(vec![None], |feed| {
            feed.into_parts().into_iter().map(Some).collect()
        });
        for feed in parts {
            self.spread(Tell {
                feed,
                ..self.base()
            });
        }
    }

    /// Sends a message to every router: in a large fleet directly to those of the own domain, and to
    /// two of each other domain, one for news, drawn anew each time, which pass it on.
    fn spread(&self, tell: Tell) {
        let own = &self.shared.settings.domain;
        let mut far: BTreeMap<&DomainId, Vec<&Peer>> = BTreeMap::new();
        let mut direct = Vec::new();
        for peer in self.peers.values().filter(|peer| self.is_reached(peer)) {
            if self.is_large() && peer.domain != *own {
                far.entry(&peer.domain).or_default().push(peer);
            } else {
                direct.push(peer.address);
            }
        }
        self.send_all(&tell, &direct);
        let relays = far.into_values().flat_map(|mut peers| {
            peers.sort_by_key(|peer| Reverse(peer.heard));
            let latest = peers.iter().take(RELAYS);
            let latest: Vec<(SocketAddr, u32)> =
                latest.map(|peer| (peer.address, peer.link)).collect();
            let mut relays = pick_relays(&latest, self.peers.len());
            if tell.has_news() {
                // News of cached prefixes are many and may be lost.
                relays.truncate(1);
            }
            relays
        });
        let relays: Vec<SocketAddr> = relays.collect();
        let relayed = Tell {
            relay: true,
            ..tell
        };
        self.send_all(&relayed, &relays);
    }

    /// Passes a message on to the routers of the own domain.
    pub(super) fn relay(&self, tell: &Tell, waited: Duration) {
        let own = &self.shared.settings.domain;
        let near = self.peers.values().filter(|peer| peer.domain == *own);
        let near = near.filter(|peer| self.is_reached(peer));
        let near: Vec<SocketAddr> = near.map(|peer| peer.address).collect();
        self.send_all(&tell.passed_on(waited, self.base()), &near);
    }

    /// Whether a router is heard, or was not heard yet.
    fn is_reached(&self, peer: &Peer) -> bool {
        let now = self.shared.now();
        peer.heard.is_none() || peer.is_heard(now, self.life())
    }

    fn send_all(&self, tell: &Tell, to: &[SocketAddr]) {
        if to.is_empty() {
            return;
        }
        if let Some(datagram) = self.seal(tell) {
            to.iter()
                .for_each(|address| send(&self.socket, &datagram, *address));
        }
    }

    /// What every message says.
    fn base(&self) -> Tell {
        let now = self.shared.now();
        let board = self.shared.board();
        Tell {
            address: Some(self.shared.settings.peers),
            domain: self.shared.settings.domain.clone(),
            link: self.shared.settings.link,
            configuration: board.configuration.known(now),
            endpoints: board.endpoints.known(now),
            draining: self.shared.is_draining(),
            crash_digest: board.quarantine.digest(),
            ..Tell::default()
        }
    }

    fn message(&self) -> Tell {
        let base = self.base();
        let now = self.shared.now();
        let mut board = self.shared.board();
        if self.is_large() {
            return Tell {
                work: Some(Vec::new()),
                reports: board.loads.reports(now),
                hot: board.heat.tell(now),
                ..base
            };
        }
        let work = board.loads.own().iter();
        let work: Vec<(EndpointId, Work)> = work.map(|(id, work)| (id.clone(), *work)).collect();
        let mut tell = base.with_work(work);
        board.news.fill(&mut tell, now);
        tell
    }
}

/// Sends a datagram. One that the socket does not take is lost like one on the way; the next follows
/// within a second.
fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    let _ = socket.try_send_to(datagram, to);
}
