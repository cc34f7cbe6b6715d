//! Receiving half of a link.

use std::fmt;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_tungstenite::WebSocketReceiver;
use async_tungstenite::tungstenite::Message;
use async_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use bytes::Bytes;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use sycamoreflow_protocol::codec;

use super::open::web_socket_error;
use super::stream::LinkSocket;
use super::{Limits, LinkError, Peer, Result, Shared};
use crate::timer::{Sleep, sleep};

/// Receiving half of a link. Dropping it closes the link once the queued frames are written.
pub struct Receiver {
    ws: WebSocketReceiver<LinkSocket>,
    shared: Arc<Shared>,
    silence: SilenceTimer,
}

/// Detects that nothing was received from the peer for the silence timeout.
///
/// The timer is rearmed only when it fires, about once per silence timeout. Otherwise a link that
/// carries many messages would register a timer for each of them.
struct SilenceTimer {
    limit: Duration,
    idle_limit: Duration,
    timer: Sleep,
    received: u64,
    last_activity: Instant,
}

impl SilenceTimer {
    fn new(limits: &Limits, received: u64) -> Self {
        Self {
            limit: limits.silence_timeout,
            idle_limit: limits.idle_silence_timeout(),
            timer: sleep(limits.silence_timeout),
            received,
            last_activity: Instant::now(),
        }
    }

    /// Records that data has arrived. `received` is the total number of bytes read so far.
    fn record_activity(&mut self, received: u64) {
        self.received = received;
        self.last_activity = Instant::now();
    }

    /// Is ready once nothing was received for the silence timeout. `received` is the total number
    /// of bytes read so far, and `in_use_since` is when the link came into use, or `None` if it is
    /// idle.
    fn poll_expired(
        &mut self,
        cx: &mut Context<'_>,
        received: u64,
        in_use_since: Option<Instant>,
    ) -> Poll<()> {
        while Pin::new(&mut self.timer).poll(cx).is_ready() {
            // Receiving one large message may take longer than the limit, so bytes count as well.
            if self.received != received {
                self.record_activity(received);
            }
            let (limit, silent_since) = match in_use_since {
                Some(since) => (self.limit, self.last_activity.max(since)),
                None => (self.idle_limit, self.last_activity),
            };
            let elapsed = silent_since.elapsed();
            if elapsed >= limit {
                return Poll::Ready(());
            }
            // Fires after `limit` at the latest, since an idle link may come into use in between.
            self.timer = sleep((limit - elapsed).min(self.limit));
        }
        Poll::Pending
    }
}

impl Receiver {
    pub(super) fn new(
        ws: WebSocketReceiver<LinkSocket>,
        shared: Arc<Shared>,
        limits: &Limits,
    ) -> Self {
        let silence = SilenceTimer::new(limits, shared.socket.received());
        Self {
            ws,
            shared,
            silence,
        }
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Fails if the link has ended, the silence timeout has passed or the message cannot be
    /// decoded. The link stays open after [`LinkError::Codec`].
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        let frame = self.receive_encoded().await?;
        codec::decode(&frame).map_err(LinkError::Codec)
    }

    /// Receives the next message without decoding it.
    ///
    /// # Errors
    ///
    /// Fails if the link has ended or the silence timeout has passed.
    pub async fn receive_encoded(&mut self) -> Result<Bytes> {
        let outcome = self.next_frame().await;
        if outcome.is_err() {
            self.shared.abort();
        }
        outcome
    }

    async fn next_frame(&mut self) -> Result<Bytes> {
        loop {
            let message = poll_fn(|cx| self.poll_message(cx)).await?;
            match message {
                Message::Binary(frame) => return Ok(frame),
                Message::Close(Some(frame)) if frame.code == CloseCode::Away => {
                    return Err(LinkError::Drained);
                }
                Message::Close(_) => return Err(LinkError::Closed),
                Message::Ping(_) | Message::Pong(_) => continue,
                _ => return Err(LinkError::Protocol("unexpected text message".into())),
            }
        }
    }

    fn poll_message(&mut self, cx: &mut Context<'_>) -> Poll<Result<Message>> {
        match self.ws.poll_next_unpin(cx) {
            Poll::Ready(Some(message)) => {
                self.silence.record_activity(self.shared.socket.received());
                Poll::Ready(message.map_err(web_socket_error))
            }
            Poll::Ready(None) => Poll::Ready(Err(LinkError::Closed)),
            Poll::Pending => {
                let received = self.shared.socket.received();
                let in_use_since = *self.shared.in_use_since.lock();
                let expired = self.silence.poll_expired(cx, received, in_use_since);
                expired.map(|()| Err(LinkError::Silent))
            }
        }
    }

    /// Returns the authenticated peer.
    pub fn peer(&self) -> &Peer {
        &self.shared.peer
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        // The writer task writes the queued frames and then ends the link.
        self.shared.queue.close();
    }
}

impl fmt::Debug for Receiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Receiver")
            .field("peer", self.peer())
            .finish_non_exhaustive()
    }
}
