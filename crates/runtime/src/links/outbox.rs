//! Encoded frames that wait for one peer.

use std::cell::{Cell, RefCell};

use bytes::BytesMut;
use knapweedwall_wire::FrameCodec;
use knapweedwall_wire::frame::Body;
use tokio::sync::Notify;
use tokio_util::codec::Encoder;

use super::Limits;

/// Bounded by frames and bytes; a frame that finds no room is refused, and the link is closed.
#[derive(Debug)]
pub(super) struct Outbox {
    limits: Limits,
    buffer: RefCell<BytesMut>,
    codec: RefCell<FrameCodec>,
    frames: Cell<usize>,
    /// Bytes taken by the writer and not written yet.
    taken: Cell<usize>,
    added: Notify,
}

/// Why a frame was not added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refused {
    /// Too many frames or bytes wait.
    Full,
    /// The frame is larger than the protocol allows.
    TooLarge,
}

impl Outbox {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            buffer: RefCell::default(),
            codec: RefCell::default(),
            frames: Cell::new(0),
            taken: Cell::new(0),
            added: Notify::new(),
        }
    }

    /// Adds a frame and returns its encoded length.
    pub(super) fn add(&self, body: Body) -> Result<usize, Refused> {
        let mut buffer = self.buffer.borrow_mut();
        let waiting = buffer.len() + self.taken.get();
        if self.frames.get() >= self.limits.frames || waiting >= self.limits.bytes.as_usize() {
            return Err(Refused::Full);
        }
        let before = buffer.len();
        if self.codec.borrow_mut().encode(body, &mut buffer).is_err() {
            buffer.truncate(before);
            return Err(Refused::TooLarge);
        }
        self.frames.set(self.frames.get() + 1);
        self.added.notify_one();
        Ok(buffer.len() - before)
    }

    /// Takes all that waits, if anything does.
    pub(super) fn take(&self) -> Option<BytesMut> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return None;
        }
        self.frames.set(0);
        self.taken.set(buffer.len());
        Some(buffer.split())
    }

    /// Waits until there is something to take.
    pub(super) async fn next(&self) -> BytesMut {
        loop {
            if let Some(chunk) = self.take() {
                return chunk;
            }
            self.added.notified().await;
        }
    }

    /// Notes that `bytes` of what was taken have been written.
    pub(super) fn wrote(&self, bytes: usize) {
        self.taken.set(self.taken.get().saturating_sub(bytes));
    }
}
