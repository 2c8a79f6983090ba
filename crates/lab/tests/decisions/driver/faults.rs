//! Faults that a test brings about.

use knapweedwall_core::LinkKey;
use knapweedwall_core::entry::Input;

use super::{Driver, Place};

impl Driver {
    /// Ends a process without notice.
    pub fn kill(&mut self, place: Place) {
        self.note(format!("{place:?} killed"));
        self.nodes.get_mut(&place).unwrap().up = false;
        let of_place = |ends: &(Place, Place)| ends.0 == place || ends.1 == place;
        let gone: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, e)| of_place(e))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.disconnect(key);
        }
    }

    pub fn pause(&mut self, place: Place, paused: bool) {
        self.note(format!("{place:?} paused: {paused}"));
        self.nodes.get_mut(&place).unwrap().paused = paused;
    }

    pub fn stop(&mut self, entry: usize) {
        self.call(entry, Input::Stop);
    }

    /// Cuts the connections between two processes and keeps them from connecting.
    pub fn cut(&mut self, a: Place, b: Place) {
        self.note(format!("{a:?} cut from {b:?}"));
        self.blocked.insert((a, b));
        self.blocked.insert((b, a));
        let gone: Vec<LinkKey> = self
            .links
            .iter()
            .filter(|(_, ends)| **ends == (a, b) || **ends == (b, a))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.disconnect(key);
        }
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
    }
}
