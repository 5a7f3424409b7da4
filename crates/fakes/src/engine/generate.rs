//! Runs chat completions.

use super::chat::{Chat, Usage};
use super::streams::Stream;
use super::{Inner, error};
use crate::control::{RequestFaults, Slot, Stage, cut_marker};
use bytes::Bytes;
use hyper::StatusCode;
use sequoiaridge_http::{BodySender, BodyStream, Reply, Request};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, sleep, sleep_until};

/// Number of unread events at which generation pauses.
const EVENT_BUFFER: usize = 64;

impl Inner {
    /// Answers a chat completion or resumes a stream.
    ///
    /// # Errors
    ///
    /// The reply to a request that is invalid, is refused, or loses its client before the answer.
    pub(super) async fn complete(self: Arc<Self>, request: Request) -> Result<Reply, Reply> {
        if let Some(id) = request.header("x-stream-id") {
            let id = id.to_string();
            return self.resume(request, &id).await;
        }
        let chat = Chat::parse(&request.body)
            .map_err(|message| error(StatusCode::BAD_REQUEST, &message))?;
        if !self.config.models.contains(&chat.request.model) {
            return Err(error(StatusCode::NOT_FOUND, "the model is not loaded"));
        }
        let slot = self.server.admit(&request).await?;
        let faults = self.server.start_run(&request).await?;
        let prompt = chat.prompt_tokens();
        let cached = self.with_volatile(|state| state.cache.cached(&chat.prompt));
        self.prompt_tokens.fetch_add(prompt, Ordering::SeqCst);
        self.cached_tokens.fetch_add(cached, Ordering::SeqCst);
        let uncached = u32::try_from(prompt - cached).unwrap_or(u32::MAX);
        self.unless_disconnected(
            &request,
            sleep(faults.slow + self.config.prompt_token * uncached),
        )
        .await?;
        self.with_volatile(|state| state.cache.insert(&chat.prompt));
        let output = chat.output_tokens() as u64;
        let usage = Usage {
            prompt,
            cached,
            output,
        };
        let chat = if faults.crossed { chat.crossed() } else { chat };
        if chat.request.stream {
            let stream = self.with_volatile(|state| state.streams.open(chat, usage));
            return Ok(self.send_stream(request, faults, slot, stream, 0).await);
        }
        let time = self.config.output_token * chat.output_tokens() as u32;
        self.unless_disconnected(&request, sleep(time)).await?;
        self.output_tokens.fetch_add(output, Ordering::SeqCst);
        self.with_volatile(|state| state.cache.insert(&chat.with_answer()));
        let head = self.server.head(&request, &faults, "application/json");
        let body = chat.completion(usage);
        let reply = self.server.send_body(&request, &faults, head, body).await;
        drop(slot);
        Ok(reply)
    }

    async fn resume(self: Arc<Self>, request: Request, id: &str) -> Result<Reply, Reply> {
        let offset = request.header("x-stream-offset").unwrap_or("0");
        let offset = offset.parse::<usize>().ok();
        let stream = self.with_volatile(|state| state.streams.find(id));
        let stream = stream.ok_or_else(|| error(StatusCode::NOT_FOUND, "no such stream"))?;
        let offset = offset.filter(|offset| *offset <= stream.chat.event_count());
        let Some(offset) = offset else {
            return Err(error(StatusCode::BAD_REQUEST, "no such offset"));
        };
        stream.touch();
        let slot = self.server.admit(&request).await?;
        self.resumed.fetch_add(1, Ordering::SeqCst);
        let faults = self.server.request_faults();
        Ok(self
            .send_stream(request, faults, slot, stream, offset)
            .await)
    }

    async fn send_stream(
        self: Arc<Self>,
        request: Request,
        faults: RequestFaults,
        slot: Slot,
        stream: Arc<Stream>,
        offset: usize,
    ) -> Reply {
        sleep(faults.late).await;
        if faults.cut == Some(Stage::BeforeHead) {
            self.server.cut(&request);
            return error(StatusCode::INTERNAL_SERVER_ERROR, "cut");
        }
        let head = self.server.head(&request, &faults, "text/event-stream");
        let head = head.with("x-stream-id", &stream.id);
        let (sender, body) = BodyStream::new(EVENT_BUFFER);
        tokio::spawn(async move {
            tokio::select! {
                () = self.send_events(&faults, &stream, offset, &sender) => {}
                () = self.server.disconnected(&request) => {}
            }
            stream.touch();
            drop(slot);
        });
        head.stream(body)
    }

    async fn send_events(
        &self,
        faults: &RequestFaults,
        stream: &Stream,
        offset: usize,
        sender: &BodySender,
    ) {
        let chat = &stream.chat;
        let count = chat.event_count();
        let end = match faults.cut {
            None => count,
            Some(Stage::BeforeEnd) => count - 1,
            Some(Stage::MidBody) => offset + (count - offset) / 2,
            Some(Stage::BeforeHead | Stage::AfterHead) => offset,
        };
        let ready = stream.produced();
        let start = Instant::now();
        let mut sent = Vec::new();
        for index in offset..end {
            if index >= ready && index < chat.output_tokens() {
                let wait = self.config.output_token * (index + 1 - ready) as u32;
                sleep_until(start + wait).await;
                let new = stream.record_produced(index + 1) as u64;
                self.output_tokens.fetch_add(new, Ordering::SeqCst);
            }
            if index == chat.output_tokens() {
                self.with_volatile(|state| state.cache.insert(&chat.with_answer()));
            }
            let event = Bytes::from(chat.event(index, stream.usage));
            if !sender.send(event.clone()).await {
                return;
            }
            stream.touch();
            if faults.duplicate {
                sent.push(event);
            }
        }
        for event in sent {
            if !sender.send(event).await {
                return;
            }
        }
        if faults.cut.is_some() {
            sender.send(cut_marker()).await;
        }
    }

    async fn unless_disconnected(
        &self,
        request: &Request,
        work: impl Future<Output = ()>,
    ) -> Result<(), Reply> {
        tokio::select! {
            () = work => Ok(()),
            () = self.server.disconnected(request) => {
                Err(error(StatusCode::INTERNAL_SERVER_ERROR, "the client closed the connection"))
            }
        }
    }
}
