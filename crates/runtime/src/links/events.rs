//! Log events of the links. Their numbers are listed in `docs/events-runtime.md`.

use knapweedwall_core::{Event, LinkKey, PeerInfo};

use super::link::{CloseReason, Origin};

pub(super) fn link_up(link: LinkKey, peer: &PeerInfo, origin: &Origin) -> Event {
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

pub(super) fn link_down(link: LinkKey, peer: &PeerInfo, close_reason: CloseReason) -> Event {
    let (reason, warning) = match close_reason {
        CloseReason::Lost(reason) => (reason, true),
        CloseReason::Closed(code) => (code, true),
        CloseReason::RejectedByPeer => ("rejected by peer", true),
        CloseReason::Shutdown => ("process is shutting down", false),
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

pub(super) fn handshake_failed(peer: &str, code: &str, text: String) -> Event {
    Event {
        number: 12,
        text: "handshake of an incoming connection failed",
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
        text: "dialling failed; retrying",
        warning: true,
        fields: vec![("address", address.to_owned()), ("error", error)],
    }
}

pub(super) fn gave_up(address: &str) -> Event {
    Event {
        number: 14,
        text: "gave up dialling an address",
        warning: true,
        fields: vec![("address", address.to_owned())],
    }
}

pub(super) fn invalid_address(address: &str) -> Event {
    Event {
        number: 15,
        text: "ignored an address that is not IP:port",
        warning: true,
        fields: vec![("address", address.to_owned())],
    }
}

pub(super) fn accept_failed(error: &std::io::Error) -> Event {
    Event {
        number: 16,
        text: "accepting a connection failed; retrying",
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
