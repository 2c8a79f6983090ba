//! Log events of the agent's state machine, numbers 201 to 249. They are listed in
//! `docs/events-agent.md`.

use crate::event::Event;

/// Creates an event without fields.
fn event(number: u16, text: &'static str, warning: bool) -> Event {
    Event {
        number,
        text,
        warning,
        fields: Vec::new(),
    }
}

/// Creates an event at level info.
pub(super) fn info(number: u16, text: &'static str) -> Event {
    event(number, text, false)
}

/// Creates an event at level warning, which needs an operator's attention.
pub(super) fn warning(number: u16, text: &'static str) -> Event {
    event(number, text, true)
}

/// Builder method for the fields of an event.
pub(super) trait WithField {
    /// Adds a field.
    fn with(self, name: &'static str, value: impl ToString) -> Self;
}

impl WithField for Event {
    fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.fields.push((name, value.to_string()));
        self
    }
}
