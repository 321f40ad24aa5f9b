//! The role of a process.

use std::net::SocketAddr;

use crate::prelude::*;

use super::SectionNeed;
use super::address_settings::{IP_AND_PORT, addresses_section, reachable_address};
use super::process_settings::process_section;
use super::section_reader::FileReader;

/// The role of a process, with the settings specific to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleSettings {
    /// An entry, which serves callers and operators and routes requests.
    Entry(EntrySettings),
    /// An agent, which passes work from entries to one target.
    Agent(AgentSettings),
}

/// The settings specific to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// The address for callers.
    pub callers: SocketAddr,
}

/// The settings specific to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The address for work from entries.
    pub work: SocketAddr,
    /// The address of the target.
    pub target: SocketAddr,
    /// The kind of the target.
    pub kind: TargetKind,
}

/// The kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TargetKind {
    /// A model engine.
    #[display("engine")]
    Engine,
    /// A plain service.
    #[display("service")]
    Service,
}

#[derive(Clone, Copy)]
enum RoleName {
    Entry,
    Agent,
}

impl RoleSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let role =
            process_section(file)?.required("role", "entry or agent", |text| match text {
                "entry" => Some(RoleName::Entry),
                "agent" => Some(RoleName::Agent),
                _ => None,
            })?;
        match role {
            RoleName::Entry => EntrySettings::read(file).map(Self::Entry),
            RoleName::Agent => AgentSettings::read(file).map(Self::Agent),
        }
    }
}

impl EntrySettings {
    fn read(file: &FileReader<'_>) -> Result<Self> {
        let addresses = addresses_section(file)?;
        if addresses.text("work").is_some() {
            return Err(addresses.error("work", "allowed only with role agent"));
        }
        if file.has_section("target") {
            return Err(file.section_error("target", "allowed only with role agent"));
        }
        let callers = addresses.required("callers", IP_AND_PORT, |text| text.parse().ok())?;
        Ok(Self { callers })
    }
}

impl AgentSettings {
    fn read(file: &FileReader<'_>) -> Result<Self> {
        let addresses = addresses_section(file)?;
        if addresses.text("callers").is_some() {
            return Err(addresses.error("callers", "allowed only with role entry"));
        }
        let target = file.section("target", SectionNeed::Required, &["address", "kind"])?;
        Ok(Self {
            work: addresses.required("work", IP_AND_PORT, |text| text.parse().ok())?,
            target: target.required("address", IP_AND_PORT, reachable_address)?,
            kind: target.required("kind", "engine or service", |text| match text {
                "engine" => Some(TargetKind::Engine),
                "service" => Some(TargetKind::Service),
                _ => None,
            })?,
        })
    }
}
