//! The seeds for peer discovery.

use std::net::SocketAddr;

use crate::prelude::*;

use super::SectionNeed;
use super::address_settings::reachable_address;
use super::section_reader::FileReader;

/// The section `[peers]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Control addresses that a new process contacts first; its own address may be among them.
    pub seeds: Vec<SocketAddr>,
}

impl PeerSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let section = file.section("peers", SectionNeed::Required, &["seeds"])?;
        let expected = "control addresses separated by commas, each an IP address and a port";
        let seeds = section.list("seeds", expected, reachable_address)?;
        Ok(Self { seeds })
    }
}
