//! Addresses of entry processes.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::io::Action;

/// An address that no entry process names for this long is no longer connected to.
const KEEP: Duration = Duration::from_secs(60);

/// Most addresses learned from entry processes; further ones are ignored.
const MAX_ADDRESSES: usize = 1024;

/// Addresses that were learned from entry processes. Those of the settings are connected to by
/// the process itself and are never forgotten.
#[derive(Debug, Default)]
pub(super) struct Addresses {
    named: BTreeMap<SmolStr, Duration>,
}

impl Addresses {
    /// An entry process named `address`.
    pub(super) fn learn(&mut self, now: Duration, address: &str, out: &mut Vec<Action>) {
        if let Some(at) = self.named.get_mut(address) {
            *at = now;
            return;
        }
        if address.is_empty() || self.named.len() >= MAX_ADDRESSES {
            return;
        }
        let address = SmolStr::from(address);
        self.named.insert(address.clone(), now);
        out.push(Action::Connect(address));
    }

    /// Forgets addresses that are no longer named.
    pub(super) fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        self.named.retain(|address, at| {
            let keep = now.saturating_sub(*at) < KEEP;
            if !keep {
                out.push(Action::Forget(address.clone()));
            }
            keep
        });
    }
}
