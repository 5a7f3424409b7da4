//! The list of endpoints from router to router, for routers that start.
//!
//! The registry is priced by the byte and has a limited rate, and a long list takes a router with a slow
//! link a second to read. So only the first routers of each domain read a long list from the registry,
//! and the others take it from a router of their own domain.

use crate::feed::Feed;
use crate::registry::{Rows, Table};
use crate::shared::{Contact, Shared};
use crate::sync::drawn;
use bytes::Bytes;
use rand::seq::IteratorRandom;
use sequoiaridge_core::Event;
use sequoiaridge_log::log;
use sequoiaridge_wire::{Frame, FrameStream, LinkError, Links, LinksConfig, PeerKeys};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Time in which routers that start together hear each other; drawn between half and the whole.
const MEET: Duration = Duration::from_millis(1000);
/// Pause between two routers that are asked; drawn between half and the whole.
const PAUSE: Duration = Duration::from_millis(300);
/// Time after which a router reads the registry itself; drawn between half and the whole. Lists reach
/// all routers of a domain within three seconds.
const PATIENCE: Duration = Duration::from_secs(6);
/// Age of the news about endpoints up to which they are given away, as a part of the bound on leaving
/// endpoints: the asker reads what changed since then within the other half.
const FRESH_PART: f64 = 0.5;
/// Lists that are sent at the same time: two already fill a link of 10 Mbit/s.
const GIVEN: usize = 2;

/// Gives the list to routers that ask for it.
pub(crate) async fn serve(shared: Arc<Shared>, keys: PeerKeys, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(GIVEN));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log(Event::AcceptFailed, &error.to_string());
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let (shared, keys, places) = (shared.clone(), keys.clone(), places.clone());
        tokio::spawn(async move {
            if let Err(error) = give(&shared, stream, &keys, &places).await {
                log(Event::PeerRejected, &format!("list of endpoints: {error}"));
            }
        });
    }
}

async fn give(
    shared: &Shared,
    stream: TcpStream,
    keys: &PeerKeys,
    places: &Semaphore,
) -> Result<(), LinkError> {
    let mut stream = FrameStream::accept(stream, keys, &Default::default()).await?;
    let Some(Frame::EndpointsPull) = stream.recv_within(PATIENCE).await? else {
        return Ok(());
    };
    let place = places.try_acquire();
    let list = place.is_ok().then(|| list(shared)).flatten();
    stream.send(&Frame::EndpointsPush { list }).await?;
    // The asker closes the connection when it has the list, and the place is taken until then.
    stream.recv_within(PATIENCE).await.map(drop)
}

/// The list as it is known now, if the news are fresh.
fn list(shared: &Shared) -> Option<Bytes> {
    let board = shared.board();
    let fresh = *board.fresh.get(&Table::Endpoints)?;
    if shared.now() > fresh + shared.settings.leave.mul_f64(FRESH_PART) {
        return None;
    }
    let feed = Feed {
        table: Table::Endpoints,
        from: 0,
        to: *board.positions.get(&Table::Endpoints)?,
        version: board.version(),
        changed: board.roster.listed(),
    };
    drop(board);
    match postcard::to_allocvec(&feed) {
        Ok(list) => Some(list.into()),
        Err(error) => {
            log(Event::PeerRejected, &format!("own list: {error}"));
            None
        }
    }
}

/// Waits for the list from another router; `None` if this one is to read the registry itself.
pub(crate) async fn wait(shared: &Shared) -> Option<Rows> {
    let end = shared.now() + drawn(PATIENCE);
    if shared.board().loads.routers() == 1 {
        tokio::time::sleep(drawn(MEET)).await;
    }
    while shared.now() < end {
        if is_first(shared) {
            return None;
        }
        match fetch(shared).await {
            Ok(Some(rows)) => return Some(rows),
            Ok(None) => {}
            Err(error) => log(Event::PeerRejected, &format!("list of endpoints: {error}")),
        }
        tokio::time::sleep(drawn(PAUSE)).await;
    }
    None
}

/// Whether this router is the first by name of those of its domain. It need not have heard the others:
/// if the first one is gone, the next ones read after their patience has ended.
fn is_first(shared: &Shared) -> bool {
    let own = &shared.settings;
    let board = shared.board();
    let mut contacts = board.contacts.iter();
    !contacts.any(|(id, contact)| contact.domain == own.domain && *id < own.id)
}

/// Asks one router for the list: one that has it, of the own domain if possible.
async fn fetch(shared: &Shared) -> Result<Option<Rows>, LinkError> {
    let Some(keys) = shared.keys.get() else {
        return Ok(None);
    };
    let chosen = {
        let board = shared.board();
        let own = &shared.settings.domain;
        let rank = |contact: &Contact| (!contact.informed, contact.domain != *own);
        let best = board.contacts.values().map(rank).min();
        let equal = board.contacts.values().filter(|c| Some(rank(c)) == best);
        equal.choose(&mut rand::rng()).map(|c| c.address)
    };
    let Some(address) = chosen else {
        return Ok(None);
    };
    let links = Links::new(keys.clone(), LinksConfig::default());
    let mut link = links.connect(address).await?;
    link.send(&Frame::EndpointsPull).await?;
    let Some(Frame::EndpointsPush { list }) = link.recv().await? else {
        return Err(LinkError::Truncated);
    };
    let Some(list) = list else { return Ok(None) };
    match postcard::from_bytes::<Feed>(&list) {
        Ok(feed) => {
            let detail = format!("endpoints={} from={address}", feed.changed.len());
            log(Event::ListReceived, &detail);
            Ok(Some(feed.into_rows()))
        }
        Err(error) => Err(LinkError::Broken(error.to_string())),
    }
}
