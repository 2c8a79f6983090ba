//! Messages of the platform's HTTP protocol (`docs/platform.md`).

mod error_reply;
mod objects;
mod table;
mod value;

pub use error_reply::{ErrorCode, ErrorReply};
pub use objects::{MAX_OBJECT_BYTES, OBJECTS_PATH, is_object_key};
pub use table::{
    Committed, Condition, Conflict, FailedKey, GET_PATH, GetRow, GetRowReply, Row, SCAN_PATH,
    ScanRows, ScanRowsReply, TRANSACT_PATH, Transact, Write,
};
pub use value::Value;
