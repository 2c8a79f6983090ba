//! What the long-running processes share: settings, log, admin listener, links, signals.
