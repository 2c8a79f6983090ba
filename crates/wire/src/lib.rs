//! Messages exchanged between the processes of the system, and their framing.

mod codec;
mod messages;

pub use codec::{Error, FrameCodec, MAX_FRAME_BYTES, PROTOCOL_VERSION, Result};
pub use messages::*;
