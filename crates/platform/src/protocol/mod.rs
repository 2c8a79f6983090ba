//! Messages of the platform's published protocol (`docs/platform.md`).

mod declined;
mod objects;
mod table;
mod value;

pub use declined::{Code, Declined};
pub use objects::{MAX_OBJECT_BYTES, OBJECTS_PATH, is_object_key};
pub use table::{
    Committed, Condition, Conflict, FailedKey, Found, GET_PATH, GetRow, Page, Row, SCAN_PATH,
    ScanRows, TRANSACT_PATH, Transact, Write,
};
pub use value::Value;
