//! Conditions of a running cluster.

use std::time::Duration;

use hyper::Method;
use serde_json::Value;

use super::cluster::Cluster;
use super::error::{Error, Result};
use super::node::Role;
use super::wait::eventually;

impl Cluster {
    /// Status of an entry process as operators see it.
    ///
    /// # Errors
    /// When it does not answer.
    pub async fn status(&self, name: &str) -> Result<Value> {
        let url = format!("{}/v1/status", self.node(name)?.url());
        self.call(Method::GET, &url, &Value::Null).await
    }

    /// Waits until the given entry processes serve all shards together and see all agents.
    ///
    /// # Errors
    /// When it does not happen in time.
    pub async fn served(&self, limit: Duration) -> Result<()> {
        let agents = self.names(Role::Agent).count();
        let look = || async {
            let (mut served, mut shards) = (0, 0);
            for name in self.names(Role::Entry) {
                let status = self.status(name).await.map_err(|e| e.to_string())?;
                served += status["shards_served"].as_u64().unwrap_or_default();
                shards = status["shards"].as_u64().unwrap_or_default();
                let workers = status["dispatch"]["workers"].as_array().map_or(0, Vec::len);
                if workers != agents {
                    return Err(format!("{name} sees {workers} of {agents} agents"));
                }
            }
            if shards > 0 && served == shards {
                return Ok(());
            }
            Err(format!("{served} of {shards} shards are served"))
        };
        eventually("all shards served", limit, look).await
    }

    /// Waits until all entry processes have the newest configuration.
    ///
    /// # Errors
    /// When it does not happen in time.
    pub async fn configured(&self, limit: Duration) -> Result<()> {
        let look = || async {
            let mut versions = Vec::new();
            for name in self.names(Role::Entry) {
                let url = format!(
                    "{}/v1/config",
                    self.node(name).map_err(|e| e.to_string())?.url()
                );
                let config = self.call(Method::GET, &url, &Value::Null).await;
                let config = config.map_err(|e: Error| e.to_string())?;
                versions.push(config["version"].as_u64());
            }
            if versions.windows(2).all(|pair| pair[0] == pair[1]) {
                return Ok(());
            }
            Err(format!("versions {versions:?}"))
        };
        eventually("one configuration everywhere", limit, look).await
    }
}
