//! Samples: settings, classes and load of a user.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use smol_str::SmolStr;

use super::error::{Error, Result};
use crate::load::Mix;

/// A user's sample.
#[derive(Debug)]
pub(super) struct Sample {
    /// Targets by class.
    pub(super) classes: BTreeMap<SmolStr, Duration>,
    /// Load.
    pub(super) load: Load,
    /// Settings of entry processes.
    pub(super) entry: Value,
    /// Settings of agents.
    pub(super) agent: Value,
}

/// Load of a sample.
#[derive(Debug, Deserialize)]
pub(super) struct Load {
    /// Jobs a second on average.
    pub(super) rate: f64,
    /// Number of jobs.
    pub(super) jobs: usize,
    /// Kinds of jobs.
    #[serde(flatten)]
    pub(super) mix: Mix,
}

#[derive(Debug, Deserialize)]
struct Classes {
    classes: BTreeMap<SmolStr, Class>,
}

#[derive(Debug, Deserialize)]
struct Class {
    #[serde(with = "humantime_serde")]
    target: Duration,
}

/// Reads the sample in `folder`.
///
/// # Errors
/// When a file is missing or wrong.
pub(super) fn load(folder: &Path) -> Result<Sample> {
    let classes: Classes = read(&folder.join("classes.yaml"))?;
    Ok(Sample {
        classes: classes
            .classes
            .into_iter()
            .map(|(name, class)| (name, class.target))
            .collect(),
        load: read(&folder.join("load.yaml"))?,
        entry: read(&folder.join("entry.yaml"))?,
        agent: read(&folder.join("agent.yaml"))?,
    })
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let file = path.display().to_string();
    let wrong = |text: String| Error::Sample {
        file: file.clone(),
        text,
    };
    let text = fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    serde_saphyr::from_str(&text).map_err(|e| wrong(e.to_string()))
}
