//! Writes encoded frames to a connection.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use knapweedwall_wire::FrameCodec;
use knapweedwall_wire::frame::Body;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;
use tokio_util::codec::Encoder;

use super::frame_kind;
use super::manager::LinkManager;
use super::send_queue::SendQueue;

/// Longest time for a write to make progress; a peer that reads nothing for longer is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The write half of a connection, with bytes taken from the send queue and not written yet.
#[derive(Debug)]
pub(super) struct Writer<W> {
    socket: W,
    chunk: BytesMut,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    pub(super) fn new(socket: W) -> Self {
        Self {
            socket,
            chunk: BytesMut::new(),
        }
    }

    /// Writes frames from `send_queue` until a write fails; returns a description of the failure.
    /// Cancel safe: bytes that have not been written stay in the writer.
    pub(super) async fn run(
        &mut self,
        manager: &LinkManager,
        send_queue: &SendQueue,
    ) -> &'static str {
        loop {
            if self.chunk.is_empty() {
                self.chunk = send_queue.next().await;
            }
            match timeout(WRITE_TIMEOUT, self.write_chunk(manager, send_queue)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return "write failed",
                Err(_) => return "write timed out",
            }
        }
    }

    /// Writes all bytes left in `send_queue`, then shuts the connection down for writing.
    pub(super) async fn flush(
        &mut self,
        manager: &LinkManager,
        send_queue: &SendQueue,
    ) -> io::Result<()> {
        loop {
            if self.chunk.is_empty() {
                let Some(chunk) = send_queue.take() else {
                    break;
                };
                self.chunk = chunk;
            }
            self.write_chunk(manager, send_queue).await?;
        }
        self.socket.shutdown().await
    }

    /// Writes some bytes of the chunk with one system call.
    async fn write_chunk(
        &mut self,
        manager: &LinkManager,
        send_queue: &SendQueue,
    ) -> io::Result<()> {
        let written = self.socket.write_buf(&mut self.chunk).await?;
        manager.metrics.writes.inc();
        send_queue.mark_written(written);
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(())
    }
}

/// Writes one frame during the handshake, bypassing the send queue.
pub(super) async fn write_frame(
    manager: &LinkManager,
    socket: &mut (impl AsyncWrite + Unpin),
    body: Body,
) -> io::Result<()> {
    let kind = frame_kind::index(&body);
    let mut buffer = BytesMut::new();
    let encoded = FrameCodec::default().encode(body, &mut buffer);
    encoded.map_err(io::Error::other)?;
    manager.metrics.sent(kind, buffer.len());
    socket.write_all(&buffer).await
}
