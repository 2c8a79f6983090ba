//! Reads and decodes frames from a connection.

use std::time::Duration;

use bytes::BytesMut;
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::{self as wire, FrameCodec};
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Decoder;

use super::metrics::Metrics;

/// Free space reserved in the buffer before a read. Payloads share the buffer they were read into,
/// so a larger one would retain more memory for each result that is kept.
const READ_BYTES: usize = 8 * 1024;

/// Longest time from the first byte of a frame to its last.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Reasons why reading ends.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(super) enum Error {
    /// Reading from the connection failed.
    #[snafu(display("connection lost: {source}"))]
    Lost { source: std::io::Error },
    /// The peer closed the connection.
    #[snafu(display("connection closed by peer"))]
    Closed,
    /// A frame was not complete within [`FRAME_TIMEOUT`].
    #[snafu(display("frame not complete within {FRAME_TIMEOUT:?}"))]
    Stalled,
    /// The frame cannot be decoded.
    #[snafu(display("{source}"))]
    Frame { source: wire::Error },
}

impl Error {
    /// Stable code for the `Reject` frame.
    pub(super) fn code(&self) -> &'static str {
        match self {
            Self::Lost { .. } => "io",
            Self::Closed => "closed",
            Self::Stalled => "late",
            Self::Frame { source } => match source {
                // The length codec fails only for a frame that is too long.
                wire::Error::Io { .. } => "frame_too_large",
                other => other.code(),
            },
        }
    }
}

/// Buffers bytes that have been read and decodes frames from them.
#[derive(Debug, Default)]
pub(super) struct Reader {
    buffer: BytesMut,
    codec: FrameCodec,
    /// When the first bytes of an incomplete frame were found in the buffer.
    frame_started: Option<Instant>,
}

impl Reader {
    /// Decodes the next frame in the buffer. Returns `None` if no frame is complete.
    pub(super) fn decode(&mut self, metrics: &Metrics) -> Result<Option<Body>, Error> {
        let before = self.buffer.len();
        if before == 0 {
            return Ok(None);
        }
        let decoded = self.codec.decode(&mut self.buffer).context(FrameSnafu)?;
        let Some(body) = decoded else {
            self.frame_started = self.frame_started.or_else(|| Some(Instant::now()));
            return Ok(None);
        };
        self.frame_started = None;
        metrics.received(&body, before - self.buffer.len());
        Ok(Some(body))
    }

    /// Reads more bytes into the buffer.
    pub(super) async fn fill(
        &mut self,
        socket: &mut (impl AsyncRead + Unpin),
    ) -> Result<(), Error> {
        self.buffer.reserve(READ_BYTES);
        let reading = socket.read_buf(&mut self.buffer);
        let bytes = match self.frame_started {
            Some(started) => timeout_at(started + FRAME_TIMEOUT, reading)
                .await
                .unwrap_or(Ok(usize::MAX)),
            None => reading.await,
        };
        let bytes = bytes.context(LostSnafu)?;
        ensure!(bytes != usize::MAX, StalledSnafu);
        ensure!(bytes > 0, ClosedSnafu);
        Ok(())
    }
}
