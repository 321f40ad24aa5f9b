//! Errors reported to users, each as a single line.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// An error that aborts a command or start-up, displayed on one line.
    #[derive(Debug)]
    pub enum Error {
        /// A settings file that cannot be read.
        SettingsRead(path: PathBuf, reason: String) {
            display("{}: {}", path.display(), reason)
        }
        /// A settings file with a missing, duplicate or unknown section.
        SettingsSection(path: PathBuf, section: String, expected: String) {
            display("{}: [{}]: {}", path.display(), section, expected)
        }
        /// A settings file with a missing, duplicate or unknown key, or an invalid value.
        SettingsValue(path: PathBuf, section: String, key: String, expected: String) {
            display("{}: [{}] {}: {}", path.display(), section, key, expected)
        }
        /// An I/O error, with the operation that failed.
        Io(context: String, err: std::io::Error) {
            display("{}: {}", context, err)
            source(err)
        }
        /// The log service, the VM list or the weight store failed or replied unexpectedly.
        Platform(reason: String) {
            display("{}", reason)
        }
        /// A peer process failed or replied unexpectedly.
        Peer(reason: String) {
            display("{}", reason)
        }
        /// An invalid input, with the reason.
        Invalid(reason: String) {
            display("{}", reason)
        }
    }
}

/// A result with the crate's [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;
