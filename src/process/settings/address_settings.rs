//! The addresses that a process listens on.

use std::net::SocketAddr;

use crate::prelude::*;

use super::section_reader::{FileReader, SectionReader};
use super::{RoleSettings, SectionNeed};

/// The expected form of an address, for error messages.
pub(super) const IP_AND_PORT: &str = "an IP address and a port, such as 10.0.0.7:7000";

/// The section `[addresses]`, without the addresses that are specific to a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressSettings {
    /// The address for control messages, which must be reachable by peers.
    pub control: SocketAddr,
    /// The address for operators, metrics and health checks.
    pub operators: SocketAddr,
}

impl AddressSettings {
    pub(super) fn read(file: &FileReader<'_>, role: &RoleSettings) -> Result<Self> {
        let section = addresses_section(file)?;
        let control: SocketAddr =
            section.required("control", IP_AND_PORT, |text| text.parse().ok())?;
        if control.ip().is_unspecified() {
            let expected = format!("expected an address that peers can reach, found {control}");
            return Err(section.error("control", expected));
        }
        let operators = section.required("operators", IP_AND_PORT, |text| text.parse().ok())?;
        let (key, address) = match role {
            RoleSettings::Entry(entry) => ("callers", entry.callers),
            RoleSettings::Agent(agent) => ("work", agent.work),
        };
        let listeners = [
            (key, address),
            ("control", control),
            ("operators", operators),
        ];
        check_distinct(&section, listeners)?;
        Ok(Self { control, operators })
    }
}

/// Opens the section `[addresses]`.
pub(super) fn addresses_section<'a>(file: &FileReader<'a>) -> Result<SectionReader<'a>> {
    let keys = ["callers", "work", "control", "operators"];
    file.section("addresses", SectionNeed::Required, &keys)
}

/// Parses an address to connect to, which needs a specific IP address and a port.
pub(super) fn reachable_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let is_reachable = !address.ip().is_unspecified() && address.port() != 0;
    is_reachable.then_some(address)
}

fn check_distinct(section: &SectionReader<'_>, listeners: [(&str, SocketAddr); 3]) -> Result<()> {
    for (idx, (key, address)) in listeners.iter().enumerate() {
        let conflict = listeners[..idx]
            .iter()
            .find(|(_, other)| conflicts(other, address));
        if let Some((other_key, _)) = conflict {
            let expected = format!("expected a different port from {other_key}, found {address}");
            return Err(section.error(key, expected));
        }
    }
    Ok(())
}

/// Returns whether two listeners cannot both be bound; port 0 binds any free port.
fn conflicts(a: &SocketAddr, b: &SocketAddr) -> bool {
    let is_same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && is_same_ip
}
