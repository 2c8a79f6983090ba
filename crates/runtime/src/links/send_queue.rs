//! Encoded frames that are waiting to be written to a peer.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use knapweedwall_wire::FrameCodec;
use knapweedwall_wire::frame::Body;
use tokio::sync::Notify;
use tokio_util::codec::Encoder;

use super::Limits;

/// Send queue of a link, bounded in frames and bytes. The link is closed if a frame does not fit.
#[derive(Debug)]
pub(super) struct SendQueue {
    limits: Limits,
    buffer: RefCell<BytesMut>,
    codec: RefCell<FrameCodec>,
    frames: Cell<usize>,
    /// Bytes taken by the writer and not written yet.
    unwritten: Cell<usize>,
    added: Notify,
}

/// Reasons why a frame is not added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EnqueueError {
    /// A limit on queued frames or bytes is reached.
    Full,
    /// The frame is larger than the protocol allows.
    TooLarge,
}

impl SendQueue {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            buffer: RefCell::default(),
            codec: RefCell::default(),
            frames: Cell::new(0),
            unwritten: Cell::new(0),
            added: Notify::new(),
        }
    }

    /// Adds a frame and returns its encoded length.
    pub(super) fn add(&self, body: Body) -> Result<usize, EnqueueError> {
        let mut buffer = self.buffer.borrow_mut();
        let queued = buffer.len() + self.unwritten.get();
        if self.frames.get() >= self.limits.frames || queued >= self.limits.bytes.as_usize() {
            return Err(EnqueueError::Full);
        }
        let before = buffer.len();
        if self.codec.borrow_mut().encode(body, &mut buffer).is_err() {
            buffer.truncate(before);
            return Err(EnqueueError::TooLarge);
        }
        self.frames.set(self.frames.get() + 1);
        self.added.notify_one();
        Ok(buffer.len() - before)
    }

    /// Takes all queued bytes, if there are any.
    pub(super) fn take(&self) -> Option<BytesMut> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return None;
        }
        self.frames.set(0);
        self.unwritten.set(buffer.len());
        Some(buffer.split())
    }

    /// Waits until frames are queued and takes their bytes.
    pub(super) async fn next(&self) -> BytesMut {
        loop {
            if let Some(chunk) = self.take() {
                return chunk;
            }
            self.added.notified().await;
        }
    }

    /// Records that `bytes` of those taken have been written.
    pub(super) fn mark_written(&self, bytes: usize) {
        self.unwritten
            .set(self.unwritten.get().saturating_sub(bytes));
    }
}
