//! The URLs of the platform's services.

use std::net::SocketAddr;

use http::Uri;

use crate::prelude::*;

use super::SectionNeed;
use super::section_reader::FileReader;

/// The section `[platform]`, whose values are base URLs such as `http://10.0.0.9:8000`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The base URL of the log service.
    pub log: Arc<str>,
    /// The base URL of the VM list.
    pub vms: Arc<str>,
    /// The base URL of the weight store.
    pub weights: Arc<str>,
}

impl PlatformSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let keys = ["log", "vms", "weights"];
        let section = file.section("platform", SectionNeed::Required, &keys)?;
        let expected = "an http URL or an IP address and a port";
        Ok(Self {
            log: section.required("log", expected, parse_base_url)?,
            vms: section.required("vms", expected, parse_base_url)?,
            weights: section.required("weights", expected, parse_base_url)?,
        })
    }
}

fn parse_base_url(text: &str) -> Option<Arc<str>> {
    if let Ok(address) = text.parse::<SocketAddr>() {
        return (address.port() != 0).then(|| format!("http://{address}").into());
    }
    let uri: Uri = text.parse().ok()?;
    let is_base_url =
        uri.scheme_str() == Some("http") && !uri.host()?.is_empty() && uri.query().is_none();
    is_base_url.then(|| text.trim_end_matches('/').into())
}
