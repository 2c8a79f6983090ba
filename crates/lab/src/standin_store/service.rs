//! Requests of the platform's protocol.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Request as HttpRequest;
use hyper::body::Incoming;
use knapweedwall_core::store::{Reply, Request, Transaction, Write};
use knapweedwall_platform::protocol::{ErrorCode, ErrorReply};

use super::parse::parse;
use super::respond::{declined, reason, respond};
use super::state::{Inner, State};
use super::{Controls, LostAs, Outage};
use crate::http::Answer;

/// What to do with a request on arrival.
enum Arrival {
    /// Carry it out after this time.
    Accept(Duration),
    /// Decline it.
    Decline(ErrorReply),
    /// Never answer it.
    Ignore,
}

/// What becomes of a request that was carried out.
enum Departure {
    Answer(Answer),
    Reset,
    Silent,
}

/// Answers one request of the platform's protocol.
pub(super) async fn serve(state: Arc<State>, request: HttpRequest<Incoming>) -> Answer {
    let request = match parse(request).await {
        Ok(request) => request,
        Err(reason) => {
            state.lock().recorder.counts.invalid += 1;
            return declined(&reason);
        }
    };
    let arrived = Instant::now();
    let arrival = admit(&mut state.lock(), is_write(&request), arrived);
    match arrival {
        Arrival::Decline(reason) => return declined(&reason),
        Arrival::Ignore => {}
        Arrival::Accept(delay) => {
            // An own task, since a request keeps its effect when its client goes away.
            let work = tokio::spawn(carry_out(Arc::clone(&state), request, arrived, delay));
            match work.await {
                Ok(Departure::Answer(answer)) => return answer,
                Ok(Departure::Reset) | Err(_) => return Answer::Reset,
                Ok(Departure::Silent) => {}
            }
        }
    }
    std::future::pending().await
}

/// Whether a request counts as a write.
fn is_write(request: &Request) -> bool {
    match request {
        Request::Transact(_) | Request::PutObject(..) | Request::DeleteObject(_) => true,
        Request::Get(_) | Request::Scan { .. } | Request::GetObject(_) => false,
    }
}

/// Decides about a request on arrival.
fn admit(inner: &mut Inner, write: bool, now: Instant) -> Arrival {
    match inner.controls.outage {
        Outage::None => {}
        Outage::Unavailable => {
            inner.recorder.counts.refused += 1;
            return Arrival::Decline(ErrorReply::new(ErrorCode::Unavailable, "out of service"));
        }
        Outage::Refuse | Outage::Silent => {
            inner.recorder.counts.refused += 1;
            return Arrival::Ignore;
        }
    }
    let Controls {
        write_rate,
        read_rate,
        ..
    } = inner.controls;
    let granted = if write {
        inner.writes.take(write_rate, now)
    } else {
        inner.reads.take(read_rate, now)
    };
    if !granted {
        inner.recorder.counts.rejected += 1;
        return Arrival::Decline(ErrorReply::new(
            ErrorCode::RateLimited,
            "rate limit exceeded",
        ));
    }
    let time = if write {
        inner.controls.write_time
    } else {
        inner.controls.read_time
    };
    inner.recorder.counts.accepted += 1;
    Arrival::Accept(time + inner.controls.slowness)
}

/// Applies a request after `delay`.
async fn carry_out(
    state: Arc<State>,
    request: Request,
    arrived: Instant,
    delay: Duration,
) -> Departure {
    if !delay.is_zero() {
        tokio::time::sleep_until((arrived + delay).into()).await;
    }
    let write = is_write(&request);
    let bytes = written_bytes(&request);
    let inner = &mut *state.lock();
    let reply = match inner.engine.apply(request) {
        Ok(reply) => reply,
        Err(e) => {
            inner.recorder.counts.invalid += 1;
            return Departure::Answer(declined(&reason(&e)));
        }
    };
    if !write {
        inner.recorder.counts.reads += 1;
        return depart(inner, false, reply);
    }
    inner.recorder.counts.writes += 1;
    if matches!(reply, Reply::Conflict(_)) {
        inner.recorder.counts.conflicts += 1;
    } else {
        inner.recorder.counts.bytes += bytes;
    }
    inner.recorder.record(arrived.elapsed());
    depart(inner, true, reply)
}

/// Bytes of the values of a write.
fn written_bytes(request: &Request) -> u64 {
    let of_write = |write: &Write| match write {
        Write::Put(_, value) => value.len(),
        Write::Delete(_) => 0,
    };
    let bytes = match request {
        Request::Transact(Transaction { writes, .. }) => writes.iter().map(of_write).sum(),
        Request::PutObject(_, content) => content.len(),
        _ => 0,
    };
    u64::try_from(bytes).unwrap_or(u64::MAX)
}

/// Answers a request that was carried out, or withholds the reply.
fn depart(inner: &mut Inner, write: bool, reply: Reply) -> Departure {
    let out = matches!(inner.controls.outage, Outage::Refuse | Outage::Silent);
    let lost = out || (write && inner.controls.lost.draw(&mut inner.rng));
    if !lost {
        return Departure::Answer(respond(reply));
    }
    if write {
        inner.recorder.counts.lost += 1;
    }
    match (out, inner.controls.lost_as) {
        (true, _) | (false, LostAs::Silent) => Departure::Silent,
        (false, LostAs::Reset) => Departure::Reset,
    }
}
