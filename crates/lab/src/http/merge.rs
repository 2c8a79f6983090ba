//! Changes of settings at run time.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};

/// Reasons why a change cannot be applied.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum MergeError {
    /// The change is not JSON, or a field has a wrong name or value.
    #[snafu(display("change: {source}"))]
    Document {
        /// Reason.
        source: serde_json::Error,
    },
    /// The change is not a JSON object.
    #[snafu(display("change: a JSON object is expected"))]
    Object,
}

/// Replaces the fields of `present` that the JSON object `change` names.
///
/// # Errors
/// [`MergeError`] when the change is malformed; nothing is changed then.
pub fn merge<T: Serialize + DeserializeOwned>(present: &T, change: &[u8]) -> Result<T, MergeError> {
    let mut document = serde_json::to_value(present).context(DocumentSnafu)?;
    let change: Value = serde_json::from_slice(change).context(DocumentSnafu)?;
    let Value::Object(change) = change else {
        return ObjectSnafu.fail();
    };
    let fields = document.as_object_mut().context(ObjectSnafu)?;
    fields.extend(change);
    serde_json::from_value(document).context(DocumentSnafu)
}
