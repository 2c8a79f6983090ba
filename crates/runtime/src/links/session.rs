//! The task of a link, from its handshake until it is closed.

use std::collections::VecDeque;
use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use tokio::io::AsyncRead;
use tokio::time::timeout;

use super::handshake::EstablishedLink;
use super::link::{CloseReason, Link};
use super::manager::LinkManager;
use super::reader::{self, Reader};
use super::writer::Writer;
use super::{LinkEvent, events};

/// Longest time for writing queued frames to the peer when a link is closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a link until it is closed.
pub(super) async fn run(manager: &LinkManager, established: EstablishedLink) {
    let EstablishedLink {
        mut socket,
        mut reader,
        link,
        entries,
    } = established;
    manager.log_event(&events::link_up(link.key, &link.peer, &link.origin));
    let mut events = VecDeque::from([LinkEvent::Up {
        link: link.key,
        peer: link.peer.clone(),
        entries,
    }]);
    manager.deliver(&mut events).await;
    let (mut read, write) = socket.split();
    let mut writer = Writer::new(write);
    let reason = tokio::select! {
        reason = receive(manager, &link, &mut reader, &mut read) => reason,
        failure = writer.run(manager, &link.send_queue) => CloseReason::Lost(failure),
        reason = link.closing() => reason,
    };
    link.close(reason);
    if let CloseReason::Closed(code) = reason {
        queue_reject(&link, code);
    }
    if matches!(reason, CloseReason::Closed(_) | CloseReason::Shutdown) {
        // Frames that the peer has not read by the timeout are dropped.
        let _flushed = timeout(FLUSH_TIMEOUT, writer.flush(manager, &link.send_queue)).await;
    }
    manager.log_event(&events::link_down(link.key, &link.peer, reason));
    manager
        .deliver(&mut VecDeque::from([LinkEvent::Down(link.key)]))
        .await;
    manager.remove(link.key);
}

fn queue_reject(link: &Link, code: &'static str) {
    // Fails if the queue is full; the connection is closed without a reason then.
    let _added = link.send_queue.add(Body::Reject(wire::Reject {
        code: code.to_owned(),
        text: String::new(),
    }));
}

async fn receive(
    manager: &LinkManager,
    link: &Link,
    reader: &mut Reader,
    socket: &mut (impl AsyncRead + Unpin),
) -> CloseReason {
    let mut frames = VecDeque::new();
    loop {
        let closed = decode(manager, link, reader, &mut frames);
        manager.deliver(&mut frames).await;
        if let Some(reason) = closed {
            return reason;
        }
        if let Err(error) = reader.fill(socket).await {
            return close_reason(&error);
        }
    }
}

/// Decodes all complete frames in the read buffer into `frames`. Returns a reason if the link has
/// to be closed.
fn decode(
    manager: &LinkManager,
    link: &Link,
    reader: &mut Reader,
    frames: &mut VecDeque<LinkEvent>,
) -> Option<CloseReason> {
    loop {
        match reader.decode(&manager.metrics) {
            Ok(None) => return None,
            Ok(Some(Body::Reject(reject))) => {
                let name = &link.peer.name;
                manager.log_event(&events::peer_rejected(name, &reject.code, &reject.text));
                return Some(CloseReason::RejectedByPeer);
            }
            Ok(Some(Body::Hello(_) | Body::Welcome(_))) => {
                return Some(CloseReason::Closed("unexpected"));
            }
            Ok(Some(body)) => frames.push_back(LinkEvent::Frame(link.key, body)),
            Err(error) => return Some(close_reason(&error)),
        }
    }
}

fn close_reason(error: &reader::Error) -> CloseReason {
    match error {
        reader::Error::Lost { .. } => CloseReason::Lost("connection failed"),
        reader::Error::Closed => CloseReason::Lost("closed by peer"),
        other => CloseReason::Closed(other.code()),
    }
}
