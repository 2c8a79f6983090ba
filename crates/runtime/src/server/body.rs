//! Response bodies that are counted as unread until they are dropped.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::activity::Activity;

/// Wraps `body` so that its bytes count as unread until the connection has consumed and dropped it.
pub(super) fn track_unread(body: Body, activity: Arc<Activity>) -> Body {
    let unread = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if unread == 0 {
        return body;
    }
    activity.add_unread(unread);
    UnsyncBoxBody::new(TrackedBody {
        body,
        unread,
        activity,
    })
}

struct TrackedBody {
    body: Body,
    unread: usize,
    activity: Arc<Activity>,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.activity.mark_read(self.unread);
    }
}
