//! The settings of a process: one INI file, validated in full at startup.

mod address_settings;
mod limit_settings;
mod log_settings;
mod peer_settings;
mod platform_settings;
mod process_settings;
mod role_settings;
mod section_reader;
mod token_settings;

use std::path::Path;

use ini::Ini;

use crate::prelude::*;

pub use address_settings::AddressSettings;
pub use limit_settings::LimitSettings;
pub use log_settings::{LogFormat, LogSettings};
pub use peer_settings::PeerSettings;
pub use platform_settings::PlatformSettings;
pub use process_settings::ProcessSettings;
pub use role_settings::{AgentSettings, EntrySettings, RoleSettings, TargetKind};
pub use token_settings::TokenSettings;

use section_reader::{FileReader, SectionNeed};

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The identity of the process.
    pub process: ProcessSettings,
    /// The role of the process, with the settings specific to it.
    pub role: RoleSettings,
    /// The listening addresses that both roles have.
    pub addresses: AddressSettings,
    /// The URLs of the platform's services.
    pub platform: PlatformSettings,
    /// The seeds for peer discovery.
    pub peers: PeerSettings,
    /// The tokens of operators and peers.
    pub tokens: TokenSettings,
    /// The format and level of the log.
    pub log: LogSettings,
    /// Limits on request bodies and on the duration of a graceful stop.
    pub limits: LimitSettings,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or it is invalid: one line then names the file, the section, the
    /// key and the expected value.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| Error::SettingsRead(path.to_owned(), err.to_string()))?;
        Self::parse(path, &text)
    }

    /// Parses and validates the text of a settings file; `path` is only used in errors.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn parse(path: &Path, text: &str) -> Result<Self> {
        let ini = Ini::load_from_str_noescape(text)
            .map_err(|err| Error::SettingsRead(path.to_owned(), format!("line {err}")))?;
        let file = FileReader::new(path, &ini)?;
        let process = ProcessSettings::read(&file)?;
        let role = RoleSettings::read(&file)?;
        let addresses = AddressSettings::read(&file, &role)?;
        Ok(Self {
            process,
            addresses,
            platform: PlatformSettings::read(&file)?,
            peers: PeerSettings::read(&file)?,
            tokens: TokenSettings::read(&file)?,
            log: LogSettings::read(&file)?,
            limits: LimitSettings::read(&file)?,
            role,
        })
    }
}
