//! Message types generated from `proto/knapweedwall.proto`.
#![allow(
    missing_docs,
    reason = "the comments of the .proto file document the messages"
)]
#![allow(clippy::all, reason = "generated code")]

include!("generated/knapweedwall.v1.rs");

impl From<frame::Body> for Frame {
    fn from(body: frame::Body) -> Self {
        Self {
            version: crate::PROTOCOL_VERSION,
            body: Some(body),
        }
    }
}
