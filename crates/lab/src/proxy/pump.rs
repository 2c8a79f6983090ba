//! Moves the bytes of one direction of one connection.

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::rules::{Direction, Rules};

/// Chunks on their way in one direction; a full line stops the reading side.
const LINE_CHUNKS: usize = 64;

/// Bytes of a chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Moves bytes until the reading side ends, then ends the writing side. The connection was made
/// after `silences` silences.
pub(super) async fn pump(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    (direction, silences): (Direction, u64),
    rules: watch::Receiver<Rules>,
) {
    let (sender, receiver) = mpsc::channel(LINE_CHUNKS);
    // Both end together: the reader drops the channel, or the writer does after a failure.
    tokio::join!(
        read(from, sender),
        write(to, receiver, (direction, silences), rules)
    );
}

async fn read(mut from: ReadHalf<'_>, line: mpsc::Sender<(Instant, Bytes)>) {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK_BYTES);
        let count = from.read_buf(&mut buffer).await.unwrap_or_default();
        let chunk = buffer.split().freeze();
        if count == 0 || line.send((Instant::now(), chunk)).await.is_err() {
            return;
        }
    }
}

async fn write(
    mut to: WriteHalf<'_>,
    mut line: mpsc::Receiver<(Instant, Bytes)>,
    way: (Direction, u64),
    mut rules: watch::Receiver<Rules>,
) {
    while let Some((arrival, chunk)) = line.recv().await {
        let delay = rules.borrow().delay;
        sleep_until(arrival + delay).await;
        if open(&mut rules, way).await.is_none() || to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // The end of the stream is held like any byte.
    if open(&mut rules, way).await.is_some() {
        // The other side may have closed first.
        let _ = to.shutdown().await;
    }
}

/// Waits while the direction is cut; none when the proxy is gone.
pub(super) async fn open(
    rules: &mut watch::Receiver<Rules>,
    (direction, silences): (Direction, u64),
) -> Option<()> {
    rules
        .wait_for(|rules| !rules.holds(direction, silences))
        .await
        .ok()
        .map(|_| ())
}
