//! The addresses that a process listens on.

use std::net::SocketAddr;

use crate::prelude::*;

use super::section_reader::{FileReader, SectionReader};
use super::{RoleSettings, SectionNeed};

/// The form of an address.
pub(super) const IP_AND_PORT: &str = "an IP address and a port, such as 10.0.0.7:7000";

/// The section `[addresses]`, without the addresses that only one role has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressSettings {
    /// The address for control messages of peers, as peers reach it.
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
        let (key, work) = match role {
            RoleSettings::Entry(entry) => ("callers", entry.callers),
            RoleSettings::Agent(agent) => ("work", agent.work),
        };
        let listeners = [(key, work), ("control", control), ("operators", operators)];
        check_distinct(&section, listeners)?;
        Ok(Self { control, operators })
    }
}

/// Opens the section of the addresses.
pub(super) fn addresses_section<'a>(file: &FileReader<'a>) -> Result<SectionReader<'a>> {
    let keys = ["callers", "work", "control", "operators"];
    file.section("addresses", SectionNeed::Required, &keys)
}

/// Parses the address of another process.
pub(super) fn reachable_address(text: &str) -> Option<SocketAddr> {
    let address: SocketAddr = text.parse().ok()?;
    let is_reachable = !address.ip().is_unspecified() && address.port() != 0;
    is_reachable.then_some(address)
}

fn check_distinct(section: &SectionReader<'_>, listeners: [(&str, SocketAddr); 3]) -> Result<()> {
    for (idx, (key, address)) in listeners.iter().enumerate() {
        let same = listeners[..idx]
            .iter()
            .find(|(_, other)| clashes(other, address));
        if let Some((other_key, _)) = same {
            let expected = format!("expected another port than {other_key}, found {address}");
            return Err(section.error(key, expected));
        }
    }
    Ok(())
}

/// Returns whether two listeners cannot both be bound; port 0 takes any free port.
fn clashes(a: &SocketAddr, b: &SocketAddr) -> bool {
    let is_same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && is_same_ip
}
