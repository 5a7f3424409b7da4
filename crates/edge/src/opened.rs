//! An answer that an endpoint has begun, and the work that it counts for.

use crate::call::AnswerHead;
use crate::crashes::{attempt_lost, attempt_unreachable};
use crate::shared::Shared;
use crate::terminations::{Loss, Run};
use crate::upstream::Link;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use sequoiaridge_core::EndpointId;
use std::net::SocketAddr;
use std::sync::Arc;

/// The head of an answer, and where its body comes from.
pub(crate) struct Opened {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) head: AnswerHead,
    pub(crate) body: AnswerBody,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}

/// Body of an answer.
pub(crate) enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is still arriving.
    Arriving(Box<Arriving>),
}

/// A body that is still arriving, with the connection that it arrives on.
pub(crate) struct Arriving {
    pub(crate) body: Incoming,
    pub(crate) link: Link,
    pub(crate) ticket: Ticket,
}

/// Counts the work of one attempt at an endpoint until it is dropped.
pub(crate) struct Ticket {
    pub(crate) shared: Arc<Shared>,
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) unread: u32,
    /// Set while the request may run there. A run that is dropped was left by its caller.
    pub(crate) run: Option<Run>,
}

impl Ticket {
    /// Counts the first event of the answer: the prompt was read.
    pub(crate) fn prompt_read(&mut self) {
        if self.unread > 0 {
            self.shared
                .board()
                .loads
                .first_event(&self.endpoint, self.unread);
            self.unread = 0;
        }
    }

    /// Notes that the run ended without an answer.
    pub(crate) fn lost(&mut self, loss: Loss) {
        if let Some(run) = self.run.take() {
            attempt_lost(&self.shared, &run, self.address, loss);
        }
    }

    /// Notes that the run ended without an answer and that its endpoint cannot be reached.
    pub(crate) fn gone(&mut self) {
        if let Some(run) = self.run.take() {
            attempt_unreachable(&self.shared, &run);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.lost(Loss::Abandoned);
        self.shared.board().loads.end(&self.endpoint, self.unread);
    }
}
