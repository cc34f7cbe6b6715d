//! Writer task of a link: writes the queued frames in order and sends heartbeats.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::stream::{Interval, interval};
use async_tungstenite::WebSocketSender;
use async_tungstenite::tungstenite::protocol::frame::coding::{CloseCode, Data, OpCode};
use async_tungstenite::tungstenite::protocol::frame::{CloseFrame, Frame};
use async_tungstenite::tungstenite::{Error as WsError, Message, Utf8Bytes};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};

use super::stream::LinkSocket;
use super::{Limits, Shared};

/// Frames larger than this are sent in fragments of this size, in bytes. This bounds the write
/// buffer of a link, which never shrinks, and allows heartbeats between the fragments.
const FRAGMENT_BYTES: usize = 64 * 1024;

/// Close frame of [`Sender::close_drained`](super::Sender::close_drained).
const DRAINED: CloseFrame = CloseFrame {
    code: CloseCode::Away,
    reason: Utf8Bytes::from_static(""),
};

enum WriterEvent {
    Frames,
    Heartbeat,
    Closed,
}

/// Writes frames and heartbeats until the queue is closed and empty. A write error ends the link.
pub(super) async fn run(ws: WebSocketSender<LinkSocket>, shared: Arc<Shared>, limits: Limits) {
    let mut writer = Writer {
        ws,
        shared,
        heartbeat_timer: interval(limits.heartbeat_interval),
        idle_interval: limits.idle_heartbeat_interval(),
        last_heartbeat: Instant::now(),
        write_stall_timeout: limits.write_stall_timeout,
    };
    if writer.write_all().await.is_ok() {
        let drained = writer.shared.drained.load(Ordering::SeqCst);
        let close = Message::Close(drained.then_some(DRAINED));
        let written = timeout(writer.write_stall_timeout, writer.ws.send(close)).await;
        if drained && matches!(written, Ok(Ok(()))) {
            writer.shared.socket.shutdown_write();
            return;
        }
    }
    writer.shared.abort();
}

/// Returns an unsolicited pong, which RFC 6455 allows as a unidirectional heartbeat. Both ends
/// send heartbeats, so replies to pings would only double the traffic of an idle link.
fn heartbeat() -> Message {
    Message::Pong(Bytes::new())
}

struct Writer {
    ws: WebSocketSender<LinkSocket>,
    shared: Arc<Shared>,
    heartbeat_timer: Interval,
    idle_interval: Duration,
    last_heartbeat: Instant,
    write_stall_timeout: Duration,
}

impl Writer {
    async fn write_all(&mut self) -> Result<(), WsError> {
        let mut batch = VecDeque::new();
        loop {
            match self.next_event(&mut batch).await {
                WriterEvent::Closed => return Ok(()),
                WriterEvent::Heartbeat if !self.is_heartbeat_due() => continue,
                WriterEvent::Heartbeat => {
                    self.last_heartbeat = Instant::now();
                    self.feed(heartbeat()).await?;
                }
                WriterEvent::Frames => self.write_batch(&mut batch).await?,
            }
            // Writes frames queued in the meantime before the flush, so that one flush covers them.
            if self.shared.queue.has_frames() {
                continue;
            }
            self.flush().await?;
        }
    }

    fn is_heartbeat_due(&self) -> bool {
        let is_idle = self.shared.in_use_since.lock().is_none();
        !is_idle || self.last_heartbeat.elapsed() >= self.idle_interval
    }

    async fn next_event(&mut self, batch: &mut VecDeque<Bytes>) -> WriterEvent {
        poll_fn(|cx| {
            // Polls the heartbeat timer first, so that a steady load of frames does not delay it.
            if self.heartbeat_timer.poll_next_unpin(cx).is_ready() {
                return Poll::Ready(WriterEvent::Heartbeat);
            }
            match self.shared.queue.poll_take(cx, batch) {
                Poll::Ready(true) => Poll::Ready(WriterEvent::Frames),
                Poll::Ready(false) => Poll::Ready(WriterEvent::Closed),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    async fn write_batch(&mut self, batch: &mut VecDeque<Bytes>) -> Result<(), WsError> {
        while let Some(frame) = batch.pop_front() {
            let length = frame.len();
            self.write_frame(frame).await?;
            self.shared.queue.release(length);
        }
        Ok(())
    }

    async fn write_frame(&mut self, mut frame: Bytes) -> Result<(), WsError> {
        if frame.len() <= FRAGMENT_BYTES {
            return self.feed(Message::Binary(frame)).await;
        }
        let mut opcode = OpCode::Data(Data::Binary);
        while !frame.is_empty() {
            let fragment = frame.split_to(FRAGMENT_BYTES.min(frame.len()));
            let message = Frame::message(fragment, opcode, frame.is_empty());
            self.feed(Message::Frame(message)).await?;
            opcode = OpCode::Data(Data::Continue);
        }
        Ok(())
    }

    async fn feed(&mut self, message: Message) -> Result<(), WsError> {
        self.wait_ready().await?;
        self.ws.start_send_unpin(message)
    }

    /// Waits until the sink accepts another message. If the socket is blocked, earlier messages
    /// must leave the write buffer first.
    async fn wait_ready(&mut self) -> Result<(), WsError> {
        self.run_with_stall_timeout(SinkOperation::Ready).await
    }

    async fn flush(&mut self) -> Result<(), WsError> {
        self.run_with_stall_timeout(SinkOperation::Flush).await
    }

    /// Runs an operation of the sink. Fails if the socket accepts no byte for the write stall
    /// timeout.
    async fn run_with_stall_timeout(&mut self, operation: SinkOperation) -> Result<(), WsError> {
        loop {
            let sent_before = self.shared.socket.sent();
            let ws = &mut self.ws;
            let attempt = poll_fn(|cx| match operation {
                SinkOperation::Ready => ws.poll_ready_unpin(cx),
                SinkOperation::Flush => ws.poll_flush_unpin(cx),
            });
            if let Ok(outcome) = timeout(self.write_stall_timeout, attempt).await {
                return outcome;
            }
            if self.shared.socket.sent() == sent_before {
                return Err(WsError::Io(std::io::ErrorKind::TimedOut.into()));
            }
        }
    }
}

#[derive(Clone, Copy)]
enum SinkOperation {
    Ready,
    Flush,
}
