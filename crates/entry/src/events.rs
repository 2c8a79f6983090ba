//! Log events of the threads of the entry process. `docs/events-entry.md` lists their numbers.

use knapweedwall_core::Event;

use crate::process::Addresses;

pub(crate) fn started(addresses: Addresses) -> Event {
    Event {
        number: 160,
        text: "entry process started",
        warning: false,
        fields: vec![
            ("version", env!("CARGO_PKG_VERSION").to_owned()),
            ("http", addresses.http.to_string()),
            ("frames", addresses.frames.to_string()),
            ("admin", addresses.admin.to_string()),
        ],
    }
}

pub(crate) fn stop_requested() -> Event {
    Event {
        number: 161,
        text: "stop requested by signal",
        warning: false,
        fields: Vec::new(),
    }
}

pub(crate) fn ended() -> Event {
    Event {
        number: 162,
        text: "entry process ended",
        warning: false,
        fields: Vec::new(),
    }
}

pub(crate) fn store_queue_full() -> Event {
    Event {
        number: 163,
        text: "store operation not started: queue full",
        warning: true,
        fields: Vec::new(),
    }
}
