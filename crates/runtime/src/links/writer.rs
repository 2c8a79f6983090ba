//! Writes frames to a connection.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use knapweedwall_wire::FrameCodec;
use knapweedwall_wire::frame::Body;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;
use tokio_util::codec::Encoder;

use super::hub::Hub;
use super::kind;
use super::outbox::Outbox;

/// Time in which the other side must read some bytes of what waits for it.
const WRITE_LIMIT: Duration = Duration::from_secs(10);

/// The write half of a link and what has been taken from its queue.
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

    /// Writes what `outbox` holds as it comes in; returns with the failure that ends the link.
    /// Dropping the future loses no byte.
    pub(super) async fn run(&mut self, hub: &Hub, outbox: &Outbox) -> &'static str {
        loop {
            if self.chunk.is_empty() {
                self.chunk = outbox.next().await;
            }
            match timeout(WRITE_LIMIT, self.step(hub, outbox)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return "write failed",
                Err(_) => return "peer does not read",
            }
        }
    }

    /// Writes all that is left in `outbox`, then closes the connection for writing.
    pub(super) async fn flush(&mut self, hub: &Hub, outbox: &Outbox) -> io::Result<()> {
        loop {
            if self.chunk.is_empty() {
                let Some(chunk) = outbox.take() else { break };
                self.chunk = chunk;
            }
            self.step(hub, outbox).await?;
        }
        self.socket.shutdown().await
    }

    async fn step(&mut self, hub: &Hub, outbox: &Outbox) -> io::Result<()> {
        let written = self.socket.write_buf(&mut self.chunk).await?;
        hub.metrics.writes.inc();
        outbox.wrote(written);
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(())
    }
}

/// Writes one frame outside of a session.
pub(super) async fn write_one(
    hub: &Hub,
    socket: &mut (impl AsyncWrite + Unpin),
    body: Body,
) -> io::Result<()> {
    let kind = kind::index(&body);
    let mut buffer = BytesMut::new();
    let encoded = FrameCodec::default().encode(body, &mut buffer);
    encoded.map_err(io::Error::other)?;
    hub.metrics.sent(kind, buffer.len());
    socket.write_all(&buffer).await
}
