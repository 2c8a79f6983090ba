//! Addresses of entry processes, as announced by other entry processes.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::io::Action;

/// Time between two connect requests for the same address. The link layer gives up on an address
/// after a minute without success, so the request is repeated while the address is announced.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(30);

/// Maximum number of addresses. Further ones are ignored until some expire.
const MAX_ADDRESSES: usize = 1024;

/// Announced addresses, with the time of the last connect request.
#[derive(Debug, Default)]
pub(super) struct EntryAddresses {
    last_requests: BTreeMap<SmolStr, Duration>,
}

impl EntryAddresses {
    /// Records that an entry process announced `address`, and requests to connect to it if the last
    /// request was long enough ago.
    pub(super) fn record(&mut self, now: Duration, address: &str, out: &mut Vec<Action>) {
        if let Some(last_request) = self.last_requests.get_mut(address) {
            if now.saturating_sub(*last_request) >= RECONNECT_INTERVAL {
                *last_request = now;
                out.push(Action::Connect(address.into()));
            }
            return;
        }
        if address.is_empty() || self.last_requests.len() >= MAX_ADDRESSES {
            return;
        }
        self.last_requests.insert(address.into(), now);
        out.push(Action::Connect(address.into()));
    }

    /// Drops addresses that are no longer announced.
    pub(super) fn expire(&mut self, now: Duration) {
        self.last_requests
            .retain(|_, requested| now.saturating_sub(*requested) < 2 * RECONNECT_INTERVAL);
    }
}
