//! Metrics of the processes, from their `/metrics`.

use super::cluster::Cluster;
use super::error::{Error, Result};

/// One sample of a metric.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Name with the suffix of its type, such as `link_frames_total`.
    pub name: String,
    /// Labels as written between the braces.
    pub labels: String,
    /// Value.
    pub value: f64,
}

/// Reads the text format of OpenMetrics.
#[must_use]
pub fn parse(text: &str) -> Vec<Sample> {
    let mut samples = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let Ok(value) = value.parse() else {
            continue;
        };
        let (name, labels) = series.split_once('{').unwrap_or((series, ""));
        samples.push(Sample {
            name: name.to_owned(),
            labels: labels.trim_end_matches('}').to_owned(),
            value,
        });
    }
    samples
}

impl Cluster {
    /// Metrics of a process.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn metrics(&self, name: &str) -> Result<Vec<Sample>> {
        let url = format!("{}/metrics", self.node(name)?.admin());
        let reply = self.http.get(&url).await.map_err(|e| Error::Request {
            text: e.to_string(),
        })?;
        Ok(parse(&String::from_utf8_lossy(&reply.body)))
    }
}
