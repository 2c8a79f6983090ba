//! Events for the log.

/// An event for the log. Numbers and texts are in the pages `docs/events-*.md`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Stable number.
    pub number: u16,
    /// Fixed text.
    pub text: &'static str,
    /// Whether it needs an operator's attention.
    pub warning: bool,
    /// Names and values.
    pub fields: Vec<(&'static str, String)>,
}
