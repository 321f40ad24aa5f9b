//! The errors that reach a person, each as one line.

use std::path::PathBuf;

use quick_error::quick_error;

quick_error! {
    /// An error that stops a command or a start-up, shown as one line.
    #[derive(Debug)]
    pub enum Error {
        /// A settings file that cannot be read.
        SettingsRead(path: PathBuf, reason: String) {
            display("{}: {}", path.display(), reason)
        }
        /// A settings file with a missing, doubled or unknown section.
        SettingsSection(path: PathBuf, section: String, expected: String) {
            display("{}: [{}]: {}", path.display(), section, expected)
        }
        /// A settings file with a bad, missing, doubled or unknown key.
        SettingsValue(path: PathBuf, section: String, key: String, expected: String) {
            display("{}: [{}] {}: {}", path.display(), section, key, expected)
        }
        /// An input or output error, with what was being done.
        Io(context: String, err: std::io::Error) {
            display("{}: {}", context, err)
            source(err)
        }
        /// The log service, the VM list or the weight store did not answer as expected.
        Platform(reason: String) {
            display("{}", reason)
        }
        /// A peer process did not answer as expected.
        Peer(reason: String) {
            display("{}", reason)
        }
        /// An input that is not valid, with what was expected.
        Invalid(reason: String) {
            display("{}", reason)
        }
    }
}

/// A result whose error is one line for a person.
pub type Result<T, E = Error> = std::result::Result<T, E>;
