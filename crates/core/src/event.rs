//! Log events.

/// A log event. `docs/events-*.md` list all numbers and messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Number of the event; does not change between releases.
    pub number: u16,
    /// Message, without variable parts.
    pub text: &'static str,
    /// Whether the event is logged as a warning, for an operator's attention.
    pub warning: bool,
    /// Keys and values.
    pub fields: Vec<(&'static str, String)>,
}
