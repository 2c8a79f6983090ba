//! Address of an entry process.

use std::fmt;
use std::str::FromStr;

use hyper::Uri;

/// Host and port of an entry process, from `http://HOST:PORT`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Address {
    /// `HOST:PORT`.
    pub(crate) authority: String,
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("expected http://HOST:PORT, found {text}");
        let uri = text
            .parse::<Uri>()
            .map_err(|e| format!("{} ({e})", wrong()))?;
        let plain = uri.scheme_str() == Some("http") && uri.path() == "/" && uri.query().is_none();
        let authority = uri.authority().filter(|_| plain).ok_or_else(wrong)?;
        let port = authority.port_u16().unwrap_or(80);
        Ok(Self {
            authority: format!("{}:{port}", authority.host()),
        })
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}", self.authority)
    }
}
