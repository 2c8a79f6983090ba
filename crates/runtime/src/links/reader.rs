//! Reads frames from a connection.

use std::time::Duration;

use bytes::BytesMut;
use knapweedwall_wire::frame::Body;
use knapweedwall_wire::{self as wire, FrameCodec};
use snafu::{ResultExt, Snafu, ensure};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::Decoder;

use super::metrics::Metrics;

/// Free space in the buffer before a read. Payloads keep the buffer they were read into, so a
/// larger one would hold more memory for each result that is kept.
const READ_BYTES: usize = 8 * 1024;

/// Time in which a started frame must be complete.
const FRAME_LIMIT: Duration = Duration::from_secs(10);

/// Reasons why reading ends.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(super) enum Error {
    /// The connection is closed or failed.
    #[snafu(display("connection lost: {source}"))]
    Lost { source: std::io::Error },
    /// The other side closed the connection.
    #[snafu(display("connection closed by peer"))]
    Closed,
    /// A started frame was not completed in time.
    #[snafu(display("frame not complete within {FRAME_LIMIT:?}"))]
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
                // The only fault of the length codec is a frame that is too long.
                wire::Error::Io { .. } => "frame_too_large",
                other => other.code(),
            },
        }
    }
}

/// Bytes read and not decoded yet.
#[derive(Debug, Default)]
pub(super) struct Reader {
    buffer: BytesMut,
    codec: FrameCodec,
    /// When the frame was started that is not complete.
    started: Option<Instant>,
}

impl Reader {
    /// The next complete frame of what has been read.
    pub(super) fn decode(&mut self, metrics: &Metrics) -> Result<Option<Body>, Error> {
        let before = self.buffer.len();
        if before == 0 {
            return Ok(None);
        }
        let decoded = self.codec.decode(&mut self.buffer).context(FrameSnafu)?;
        let Some(body) = decoded else {
            self.started = self.started.or_else(|| Some(Instant::now()));
            return Ok(None);
        };
        self.started = None;
        metrics.received(&body, before - self.buffer.len());
        Ok(Some(body))
    }

    /// Reads more bytes.
    pub(super) async fn fill(
        &mut self,
        socket: &mut (impl AsyncRead + Unpin),
    ) -> Result<(), Error> {
        self.buffer.reserve(READ_BYTES);
        let reading = socket.read_buf(&mut self.buffer);
        let bytes = match self.started {
            Some(started) => timeout_at(started + FRAME_LIMIT, reading)
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
