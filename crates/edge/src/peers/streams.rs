//! What routers tell each other of the versions that began streams.
//!
//! In a small fleet each router tells all others. In a large one it tells three holders of each stream,
//! at once, while the service has several versions. See "Versions of endpoints'
//! software" in docs/platform.md.

use super::PeerExchange;
use crate::peer_message::PeerMessage;
use crate::stream_versions::{StreamId, StreamOrigin, stream_holders, stream_keepers};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Messages of a small fleet that carry each stream, because datagrams get lost.
const SENDS_PER_STREAM: u8 = 3;
/// Bytes of a message for streams, beside the fields that every message carries.
const MAX_ORIGIN_BYTES: usize = 800;
/// Bytes of a stream without its version.
const ORIGIN_BYTES: usize = 16;
/// Most streams that a router of a small fleet tells in one round.
const MAX_STREAMS_TOLD: usize = 64;
/// Interval between checks of which routers save streams in a large fleet.
const KEEPER_INTERVAL: Duration = Duration::from_millis(250);
/// Most streams in one question.
const MAX_ASKED: usize = 64;

impl PeerExchange {
    /// Tells other routers the streams that this one recorded.
    pub(super) fn tell_streams(&mut self, now: Duration) {
        if self.is_large() {
            if now >= self.keepers_found_at + KEEPER_INTERVAL {
                self.keepers_found_at = now;
                self.find_keepers();
            }
            self.tell_holders(now);
            return;
        }
        let origins = self.next_origins(MAX_STREAMS_TOLD, SENDS_PER_STREAM, now);
        if origins.is_empty() {
            return;
        }
        let peers = self.peers.values().filter(|peer| self.may_be_alive(peer));
        let addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        self.send_origins(origins, &addresses, &self.base_message());
    }

    fn tell_holders(&mut self, now: Duration) {
        let count = self.tell_pace.allowance(now);
        let origins = self.next_origins(count, 1, now);
        self.tell_pace.note_told(origins.len());
        let mut by_holder: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
        for origin in origins {
            for holder in self.holders(origin.stream) {
                by_holder.entry(holder).or_default().push(origin.clone());
            }
        }
        for (holder, origins) in by_holder {
            self.send_origins(origins, &[holder], &PeerMessage::default());
        }
    }

    /// The next streams to tell.
    fn next_origins(&self, count: usize, sends: u8, now: Duration) -> Vec<StreamOrigin> {
        let is_large = self.is_large();
        let mut state = self.shared.lock_state();
        let mut news = std::mem::take(&mut state.stream_news);
        let is_told = |service: &str| !is_large || state.versions.is_mixed(service, now);
        let find = |stream| state.streams.open_origin(stream, now);
        let origins = news.take(count, sends, is_told, find);
        state.stream_news = news;
        origins
    }

    /// Asks other routers for the versions that began streams: the holders in a large fleet, all
    /// others in a small one.
    pub(super) fn ask_streams(&self) {
        let asked = std::mem::take(&mut self.shared.lock_state().asked_streams);
        let asked: Vec<StreamId> = asked.into_iter().collect();
        if self.is_large() {
            for stream in asked {
                self.ask(vec![stream], &self.holders(stream));
            }
            return;
        }
        let peers = self.peers.values().filter(|peer| self.may_be_alive(peer));
        let addresses: Vec<SocketAddr> = peers.map(|peer| peer.address).collect();
        for part in asked.chunks(MAX_ASKED) {
            self.ask(part.to_vec(), &addresses);
        }
    }

    fn ask(&self, asked_streams: Vec<StreamId>, to: &[SocketAddr]) {
        let message = PeerMessage {
            asked_streams,
            ..self.base_message()
        };
        self.send_all(&message, to);
    }

    /// Answers the question of another router with what this one knows.
    pub(super) fn answer_asked(&self, asked: &[StreamId], to: SocketAddr) {
        let now = self.shared.now();
        let state = self.shared.lock_state();
        let known = asked
            .iter()
            .filter_map(|stream| state.streams.origin(*stream, now));
        let known: Vec<StreamOrigin> = known.collect();
        drop(state);
        self.send_origins(known, &[to], &self.base_message());
    }

    /// Sends streams in as many messages as they need, beside the other fields of `base`.
    fn send_origins(&self, origins: Vec<StreamOrigin>, to: &[SocketAddr], base: &PeerMessage) {
        let mut origins = origins.into_iter().peekable();
        while origins.peek().is_some() {
            let mut bytes = 0;
            let mut part = Vec::new();
            while let Some(origin) = origins.next_if(|origin| {
                bytes += ORIGIN_BYTES + origin.version.len();
                part.is_empty() || bytes <= MAX_ORIGIN_BYTES
            }) {
                part.push(origin);
            }
            let message = PeerMessage {
                origins: part,
                ..base.clone()
            };
            self.send_all(&message, to);
        }
    }

    /// Finds out whether this router saves streams for others, and how many do.
    fn find_keepers(&self) {
        let settings = &self.shared.settings;
        let alive = self
            .peers
            .iter()
            .filter(|(_, peer)| self.may_be_alive(peer));
        let mut members: Vec<(&str, &str)> = alive
            .map(|(id, peer)| (id.as_str(), peer.domain.as_str()))
            .collect();
        members.push((&settings.id, &settings.domain));
        members.sort_unstable();
        let keepers = stream_keepers(members.into_iter());
        let is_keeper = keepers.iter().any(|(id, _)| *id == settings.id);
        let mut state = self.shared.lock_state();
        state.stream_keepers = keepers.len();
        state.keeps_streams = is_keeper;
    }

    /// The other routers that hold a stream.
    fn holders(&self, stream: StreamId) -> Vec<SocketAddr> {
        let alive = self
            .peers
            .iter()
            .filter(|(_, peer)| self.may_be_alive(peer));
        let members = alive.map(|(id, peer)| (id.as_str(), peer.domain.as_str()));
        let holders = stream_holders(stream, members).into_iter();
        holders.map(|id| self.peers[id].address).collect()
    }
}
