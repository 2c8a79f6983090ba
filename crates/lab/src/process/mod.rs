//! Start of the stand-ins' processes.

mod announce;
mod settings;

pub use announce::announce;
pub use settings::{SettingsError, load, replace};
