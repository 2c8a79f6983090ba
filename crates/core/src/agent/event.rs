//! Log events of the agent's decisions. Numbers 201 to 249; `docs/events-agent.md` lists them.

use crate::event::Event;

/// Makes an event without fields.
fn event(number: u16, text: &'static str, warning: bool) -> Event {
    Event {
        number,
        text,
        warning,
        fields: Vec::new(),
    }
}

/// An event that needs no attention.
pub(super) fn info(number: u16, text: &'static str) -> Event {
    event(number, text, false)
}

/// An event that needs an operator's attention.
pub(super) fn warning(number: u16, text: &'static str) -> Event {
    event(number, text, true)
}

/// Adds fields to events.
pub(super) trait WithField {
    /// The event with one more field.
    fn with(self, name: &'static str, value: impl ToString) -> Self;
}

impl WithField for Event {
    fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}
