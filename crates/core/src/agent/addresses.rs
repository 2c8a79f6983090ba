//! Addresses of entry processes that other entry processes name.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::io::Action;

/// Time between requests to connect to the same address. The links give an address up after a
/// minute without success, so a process that is still named has to be asked for again.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(30);

/// Most addresses; further ones are ignored until named ones are dropped.
const MAX_ADDRESSES: usize = 1024;

/// Addresses that were named, with the time of the last request to connect.
#[derive(Debug, Default)]
pub(super) struct EntryAddresses {
    asked: BTreeMap<SmolStr, Duration>,
}

impl EntryAddresses {
    /// An entry process named `address`.
    pub(super) fn record(&mut self, now: Duration, address: &str, out: &mut Vec<Action>) {
        if let Some(asked) = self.asked.get_mut(address) {
            if now.saturating_sub(*asked) >= RECONNECT_INTERVAL {
                *asked = now;
                out.push(Action::Connect(address.into()));
            }
            return;
        }
        if address.is_empty() || self.asked.len() >= MAX_ADDRESSES {
            return;
        }
        self.asked.insert(address.into(), now);
        out.push(Action::Connect(address.into()));
    }

    /// Drops addresses that are no longer named.
    pub(super) fn expire(&mut self, now: Duration) {
        self.asked
            .retain(|_, asked| now.saturating_sub(*asked) < 2 * RECONNECT_INTERVAL);
    }
}
