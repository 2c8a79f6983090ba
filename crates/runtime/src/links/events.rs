//! Log events of the links. Their numbers are listed in `docs/events-runtime.md`.

use knapweedwall_core::{Event, LinkKey, PeerInfo};

use super::link::{CloseReason, Origin};

pub(super) fn up(link: LinkKey, peer: &PeerInfo, origin: &Origin) -> Event {
    let origin = match origin {
        Origin::Dialled(_) => "dialled",
        Origin::Accepted => "accepted",
    };
    Event {
        number: 10,
        text: "link up",
        warning: false,
        fields: vec![
            ("link", link.0.to_string()),
            ("peer", peer.name.to_string()),
            ("zone", peer.zone.to_string()),
            ("instance", peer.instance.to_string()),
            ("origin", origin.to_owned()),
        ],
    }
}

pub(super) fn down(link: LinkKey, peer: &PeerInfo, ending: CloseReason) -> Event {
    let (reason, warning) = match ending {
        CloseReason::Lost(reason) => (reason, true),
        CloseReason::Closed(code) => (code, true),
        CloseReason::RejectedByPeer => ("rejected by peer", true),
        CloseReason::Shutdown => ("process ends", false),
    };
    Event {
        number: 11,
        text: "link down",
        warning,
        fields: vec![
            ("link", link.0.to_string()),
            ("peer", peer.name.to_string()),
            ("reason", reason.to_owned()),
        ],
    }
}

pub(super) fn refused(peer: &str, code: &str, text: String) -> Event {
    Event {
        number: 12,
        text: "connection refused",
        warning: true,
        fields: vec![
            ("peer", peer.to_owned()),
            ("code", code.to_owned()),
            ("error", text),
        ],
    }
}

pub(super) fn dial_failed(address: &str, error: String) -> Event {
    Event {
        number: 13,
        text: "dial failed, will be repeated",
        warning: true,
        fields: vec![("address", address.to_owned()), ("error", error)],
    }
}

pub(super) fn given_up(address: &str) -> Event {
    Event {
        number: 14,
        text: "address given up",
        warning: true,
        fields: vec![("address", address.to_owned())],
    }
}

pub(super) fn bad_address(address: &str) -> Event {
    Event {
        number: 15,
        text: "not an address with port, ignored",
        warning: true,
        fields: vec![("address", address.to_owned())],
    }
}

pub(super) fn accept_failed(error: &std::io::Error) -> Event {
    Event {
        number: 16,
        text: "accept failed, will be repeated",
        warning: true,
        fields: vec![("error", error.to_string())],
    }
}

pub(super) fn peer_rejected(peer: &str, code: &str, text: &str) -> Event {
    Event {
        number: 17,
        text: "rejected by peer",
        warning: true,
        fields: vec![
            ("peer", peer.to_owned()),
            ("code", code.to_owned()),
            ("text", text.to_owned()),
        ],
    }
}
