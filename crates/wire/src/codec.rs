//! Length-delimited framing of [`Frame`] messages.

use bytes::{BufMut, BytesMut};
use prost::Message;
use snafu::{ResultExt, Snafu, ensure};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Frame;
use crate::messages::frame::Body;

/// Version of the frame protocol that this build supports.
pub const PROTOCOL_VERSION: u32 = 1;

/// Maximum size of a frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Result of the codec.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Errors of reading or writing a frame. The messages are sent to the peer in `Reject`.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The connection failed, or a frame is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame i/o failed: {source}"), context(false))]
    Io {
        /// Error of the connection or of the length codec.
        source: std::io::Error,
    },
    /// The frame is not a valid message.
    #[snafu(display("frame cannot be decoded: {source}"))]
    Decode {
        /// Error of the decoder.
        source: prost::DecodeError,
    },
    /// The sender uses another version of the protocol.
    #[snafu(display(
        "peer speaks protocol version {found}, this process speaks {PROTOCOL_VERSION}"
    ))]
    Version {
        /// Version in the frame.
        found: u32,
    },
    /// A frame to be sent is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {length} bytes is longer than {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Length of the frame in bytes.
        length: usize,
    },
    /// The frame has no body, or one of a type unknown to this build.
    #[snafu(display("frame has no known body"))]
    UnknownBody,
}

impl Error {
    /// Stable code for the `Reject` frame.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Io { .. } => "io",
            Self::Decode { .. } => "bad_frame",
            Self::Version { .. } => "bad_version",
            Self::TooLong { .. } => "too_long",
            Self::UnknownBody => "unknown_body",
        }
    }
}

/// Codec for `tokio_util::codec`: a 4-byte big-endian length followed by an encoded [`Frame`].
#[derive(Debug)]
pub struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner }
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = Error;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Body>> {
        let Some(bytes) = self.inner.decode(src)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze()).context(DecodeSnafu)?;
        ensure!(
            frame.version == PROTOCOL_VERSION,
            VersionSnafu {
                found: frame.version
            }
        );
        frame.body.map(Some).ok_or(Error::UnknownBody)
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = Error;

    fn encode(&mut self, body: Body, dst: &mut BytesMut) -> Result<()> {
        let frame = Frame::from(body);
        let length = frame.encoded_len();
        ensure!(length <= MAX_FRAME_BYTES, TooLongSnafu { length });
        dst.reserve(LENGTH_PREFIX_BYTES + length);
        dst.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        // Encoding fails only if the buffer lacks capacity, and this buffer grows.
        frame.encode(dst).or(TooLongSnafu { length }.fail())
    }
}
