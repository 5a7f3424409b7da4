//! Running chat completions.

use super::chat::{Chat, Usage};
use super::streams::Stream;
use super::{Inner, error};
use crate::control::{Plan, Slot, Stage, cut_mark};
use bytes::Bytes;
use hyper::StatusCode;
use sequoiaridge_http::{BodySender, BodyStream, Reply, Request};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::{Instant, sleep, sleep_until};

/// Unread events after which generation pauses.
const EVENT_DEPTH: usize = 64;

impl Inner {
    /// Answers a chat completion or resumes a stream.
    ///
    /// # Errors
    ///
    /// The reply to a request that does not run.
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
        let slot = self.host.admit(&request).await?;
        let plan = self.host.start_run(&request).await?;
        let prompt = chat.prompt_tokens();
        let cached = self.with_memory(|memory| memory.cache.cached(&chat.prompt));
        self.prompt_tokens.fetch_add(prompt, Ordering::SeqCst);
        self.cached_tokens.fetch_add(cached, Ordering::SeqCst);
        let fresh = u32::try_from(prompt - cached).unwrap_or(u32::MAX);
        self.unless_gone(
            &request,
            sleep(plan.slow + self.config.prompt_token * fresh),
        )
        .await?;
        self.with_memory(|memory| memory.cache.insert(&chat.prompt));
        let output = chat.output_tokens() as u64;
        let usage = Usage {
            prompt,
            cached,
            output,
        };
        let chat = if plan.crossed { chat.crossed() } else { chat };
        if chat.request.stream {
            let stream = self.with_memory(|memory| memory.streams.open(chat, usage));
            return Ok(self.send_stream(request, plan, slot, stream, 0).await);
        }
        let time = self.config.output_token * chat.output_tokens() as u32;
        self.unless_gone(&request, sleep(time)).await?;
        self.output_tokens.fetch_add(output, Ordering::SeqCst);
        self.with_memory(|memory| memory.cache.insert(&chat.with_answer()));
        let head = self.host.head(&request, &plan, "application/json");
        let body = chat.whole(usage);
        let reply = self.host.deliver(&request, &plan, head, body).await;
        drop(slot);
        Ok(reply)
    }

    async fn resume(self: Arc<Self>, request: Request, id: &str) -> Result<Reply, Reply> {
        let offset = request.header("x-stream-offset").unwrap_or("0");
        let offset = offset.parse::<usize>().ok();
        let stream = self.with_memory(|memory| memory.streams.find(id));
        let stream = stream.ok_or_else(|| error(StatusCode::NOT_FOUND, "no such stream"))?;
        let offset = offset.filter(|offset| *offset <= stream.chat.event_count());
        let Some(offset) = offset else {
            return Err(error(StatusCode::BAD_REQUEST, "no such offset"));
        };
        stream.touch();
        let slot = self.host.admit(&request).await?;
        self.resumed.fetch_add(1, Ordering::SeqCst);
        let plan = self.host.plan();
        Ok(self.send_stream(request, plan, slot, stream, offset).await)
    }

    async fn send_stream(
        self: Arc<Self>,
        request: Request,
        plan: Plan,
        slot: Slot,
        stream: Arc<Stream>,
        offset: usize,
    ) -> Reply {
        sleep(plan.late).await;
        if plan.cut == Some(Stage::BeforeHead) {
            self.host.cut(&request);
            return error(StatusCode::INTERNAL_SERVER_ERROR, "cut");
        }
        let head = self.host.head(&request, &plan, "text/event-stream");
        let head = head.with("x-stream-id", &stream.id);
        let (sender, body) = BodyStream::new(EVENT_DEPTH);
        tokio::spawn(async move {
            tokio::select! {
                () = self.send_events(&plan, &stream, offset, &sender) => {}
                () = self.host.gone(&request) => {}
            }
            stream.touch();
            drop(slot);
        });
        head.stream(body)
    }

    async fn send_events(&self, plan: &Plan, stream: &Stream, offset: usize, sender: &BodySender) {
        let chat = &stream.chat;
        let count = chat.event_count();
        let end = match plan.cut {
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
                let new = stream.produce(index + 1) as u64;
                self.output_tokens.fetch_add(new, Ordering::SeqCst);
            }
            if index == chat.output_tokens() {
                self.with_memory(|memory| memory.cache.insert(&chat.with_answer()));
            }
            let event = Bytes::from(chat.event(index, stream.usage));
            if !sender.send(event.clone()).await {
                return;
            }
            stream.touch();
            if plan.duplicate {
                sent.push(event);
            }
        }
        for event in sent {
            if !sender.send(event).await {
                return;
            }
        }
        if plan.cut.is_some() {
            sender.send(cut_mark()).await;
        }
    }

    async fn unless_gone(
        &self,
        request: &Request,
        work: impl Future<Output = ()>,
    ) -> Result<(), Reply> {
        tokio::select! {
            () = work => Ok(()),
            () = self.host.gone(request) => {
                Err(error(StatusCode::INTERNAL_SERVER_ERROR, "the client has gone"))
            }
        }
    }
}
