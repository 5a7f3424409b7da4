//! An answer whose head has arrived, and the guard that counts its request as load of the endpoint.

use crate::call::AnswerHead;
use crate::crashes::{attempt_lost, attempt_unreachable};
use crate::shared::Shared;
use crate::terminations::{Loss, Run};
use crate::upstream::{Connection, is_refusing};
use bytes::Bytes;
use http::{HeaderMap, StatusCode, header};
use hyper::body::{Body, Incoming};
use sequoiaridge_core::EndpointId;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// The head of an answer, with its body or the connection that the body arrives on.
pub(crate) struct StartedAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: AnswerHead,
    pub(crate) body: AnswerBody,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The last chunk.
    Chunks,
    /// Its length, which is announced or, for an answer without a body, follows from its status.
    Length,
    /// The end of the connection, which is also what the crash of an endpoint looks like.
    Connection,
}

impl Framing {
    /// The framing of an answer of which nothing but the head has been read.
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> Framing {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Framing::Chunks
        } else if body.size_hint().exact().is_some() {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// Name in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Framing::Chunks => "chunks",
            Framing::Length => "length",
            Framing::Connection => "connection",
        }
    }
}

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is still arriving.
    Arriving(Box<ArrivingBody>),
}

/// A body that is still arriving, with the connection that it arrives on.
pub(crate) struct ArrivingBody {
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) guard: LoadGuard,
}

/// Future that returns whether an endpoint crashed.
pub(crate) type CrashCheck = Pin<Box<dyn Future<Output = bool> + Send>>;

/// Counts one attempt as outstanding work of its endpoint until it is dropped.
pub(crate) struct LoadGuard {
    pub(crate) shared: Arc<Shared>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) unread: u32,
    /// Set while the request may be running on the endpoint. If the guard is dropped with a run, the
    /// caller left before the answer was complete.
    pub(crate) run: Option<Run>,
}

impl LoadGuard {
    /// Records the first data of the answer, which shows that the endpoint has processed the prompt.
    pub(crate) fn prompt_read(&mut self) {
        if self.unread > 0 {
            self.shared
                .lock_state()
                .loads
                .first_event(&self.endpoint, self.unread);
            self.unread = 0;
        }
    }

    /// Records that the answer went on after its beginning, so that no part of the prompt crashes
    /// endpoints.
    pub(crate) fn progressed(&mut self) {
        if let Some(run) = &mut self.run {
            run.progressed = true;
        }
    }

    /// Returns whether the endpoint crashed when it ended an answer with its connection: a crash
    /// closes connections in order, too. An endpoint that leaves and ends right after an answer
    /// looks the same; a whole answer that seems broken off does less harm than the reverse.
    pub(crate) fn check_crash(&self) -> CrashCheck {
        Box::pin(is_refusing(self.address))
    }

    /// Records that the run ended without a complete answer.
    pub(crate) fn lost(&mut self, loss: Loss) {
        if let Some(run) = self.run.take() {
            attempt_lost(&self.shared, &run, self.address, loss);
        }
    }

    /// Records that the run ended without a complete answer and that its endpoint cannot be reached.
    pub(crate) fn gone(&mut self) {
        if let Some(run) = self.run.take() {
            attempt_unreachable(&self.shared, &run);
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.lost(Loss::Abandoned);
        self.shared
            .lock_state()
            .loads
            .end(&self.endpoint, self.unread);
    }
}
