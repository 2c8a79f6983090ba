//! The time of a link between its hand-shake and its end.

use std::collections::VecDeque;
use std::time::Duration;

use knapweedwall_wire as wire;
use knapweedwall_wire::frame::Body;
use tokio::io::AsyncRead;
use tokio::time::timeout;

use super::handshake::Joined;
use super::hub::Hub;
use super::live::{Ending, Live};
use super::reader::{self, Reader};
use super::writer::Writer;
use super::{LinkEvent, events};

/// Time in which what waits for the other side must be written when a link ends.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Runs a link until it ends.
pub(super) async fn run(hub: &Hub, joined: Joined) {
    let Joined {
        mut socket,
        mut reader,
        live,
        entries,
    } = joined;
    hub.log(&events::up(live.key, &live.peer, &live.origin));
    let mut events = VecDeque::from([LinkEvent::Up {
        link: live.key,
        peer: live.peer.clone(),
        entries,
    }]);
    hub.deliver(&mut events).await;
    let (mut read, write) = socket.split();
    let mut writer = Writer::new(write);
    let ending = tokio::select! {
        ending = receive(hub, &live, &mut reader, &mut read) => ending,
        reason = writer.run(hub, &live.outbox) => Ending::Lost(reason),
        ending = live.ended() => ending,
    };
    live.end(ending);
    if let Ending::Closed(code) = ending {
        add_reject(&live, code);
    }
    if matches!(ending, Ending::Closed(_) | Ending::Finished) {
        // A peer that does not read gets no more than this time.
        let _flushed = timeout(FLUSH_LIMIT, writer.flush(hub, &live.outbox)).await;
    }
    hub.log(&events::down(live.key, &live.peer, ending));
    hub.deliver(&mut VecDeque::from([LinkEvent::Down(live.key)]))
        .await;
    hub.remove(live.key);
}

fn add_reject(live: &Live, code: &'static str) {
    // A full queue has no room for the reason; the connection is closed in any case.
    let _added = live.outbox.add(Body::Reject(wire::Reject {
        code: code.to_owned(),
        text: String::new(),
    }));
}

async fn receive(
    hub: &Hub,
    live: &Live,
    reader: &mut Reader,
    socket: &mut (impl AsyncRead + Unpin),
) -> Ending {
    let mut frames = VecDeque::new();
    loop {
        let ending = decode(hub, live, reader, &mut frames);
        hub.deliver(&mut frames).await;
        if let Some(ending) = ending {
            return ending;
        }
        if let Err(error) = reader.fill(socket).await {
            return failed(&error);
        }
    }
}

/// Decodes all complete frames that have been read.
fn decode(
    hub: &Hub,
    live: &Live,
    reader: &mut Reader,
    frames: &mut VecDeque<LinkEvent>,
) -> Option<Ending> {
    loop {
        match reader.decode(&hub.metrics) {
            Ok(None) => return None,
            Ok(Some(Body::Reject(reject))) => {
                let name = &live.peer.name;
                hub.log(&events::peer_rejected(name, &reject.code, &reject.text));
                return Some(Ending::Rejected);
            }
            Ok(Some(Body::Hello(_) | Body::Welcome(_))) => {
                return Some(Ending::Closed("unexpected"));
            }
            Ok(Some(body)) => frames.push_back(LinkEvent::Frame(live.key, body)),
            Err(error) => return Some(failed(&error)),
        }
    }
}

fn failed(error: &reader::Error) -> Ending {
    match error {
        reader::Error::Lost { .. } => Ending::Lost("connection failed"),
        reader::Error::Closed => Ending::Lost("closed by peer"),
        other => Ending::Closed(other.code()),
    }
}
