//! Reads the sections of an INI file and reports invalid ones.

use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use ini::{Ini, Properties};

use crate::prelude::*;

/// The sections that a settings file may contain.
const SECTIONS: [&str; 8] = [
    "process",
    "addresses",
    "platform",
    "peers",
    "target",
    "tokens",
    "log",
    "limits",
];

/// Whether a section is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SectionNeed {
    /// The section must be present.
    Required,
    /// If the section is missing, its keys have their defaults.
    Optional,
}

/// A settings file in which each section is known and occurs once.
#[derive(Debug)]
pub(super) struct FileReader<'a> {
    path: &'a Path,
    ini: &'a Ini,
}

impl<'a> FileReader<'a> {
    /// Creates a reader after checking the names of the sections.
    pub(super) fn new(path: &'a Path, ini: &'a Ini) -> Result<Self> {
        let file = Self { path, ini };
        if let Some((key, _)) = ini.general_section().iter().next() {
            let reason = format!("{key}: expected a [section] before the first key");
            return Err(Error::SettingsRead(path.to_owned(), reason));
        }
        for section in ini.sections().flatten() {
            if !SECTIONS.contains(&section) {
                let expected = format!("unknown section, expected one of {}", SECTIONS.join(", "));
                return Err(file.section_error(section, expected));
            }
            if 1 < ini.section_all(Some(section)).count() {
                return Err(file.section_error(section, "duplicate section"));
            }
        }
        Ok(file)
    }

    /// Returns whether the file contains the section.
    pub(super) fn has_section(&self, section: &str) -> bool {
        self.ini.section(Some(section)).is_some()
    }

    /// Opens a section that may contain no other keys than `keys`.
    pub(super) fn section(
        &self,
        name: &'static str,
        need: SectionNeed,
        keys: &[&str],
    ) -> Result<SectionReader<'a>> {
        let properties = self.ini.section(Some(name));
        if properties.is_none() && need == SectionNeed::Required {
            let expected = format!("missing section, expected the keys {}", keys.join(", "));
            return Err(self.section_error(name, expected));
        }
        let section = SectionReader {
            path: self.path.to_owned(),
            name,
            properties,
        };
        section.check_keys(keys)?;
        Ok(section)
    }

    /// Creates an error about a section as a whole.
    pub(super) fn section_error(&self, section: &str, expected: impl Into<String>) -> Error {
        Error::SettingsSection(self.path.to_owned(), section.to_owned(), expected.into())
    }
}

/// A section in which each key is known and occurs once.
#[derive(Debug)]
pub(super) struct SectionReader<'a> {
    path: PathBuf,
    name: &'static str,
    properties: Option<&'a Properties>,
}

impl SectionReader<'_> {
    /// Returns the value of `key`, or `None` if it is missing.
    pub(super) fn text(&self, key: &str) -> Option<&str> {
        self.properties?.get(key).map(str::trim)
    }

    /// Returns the value of `key` as parsed by `parse`, which returns `None` for an invalid value.
    pub(super) fn required<T>(
        &self,
        key: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T> {
        let Some(text) = self.text(key) else {
            return Err(self.error(key, format!("missing, expected {expected}")));
        };
        parse(text).ok_or_else(|| self.mismatch(key, expected, text))
    }

    /// Returns the value of `key` as parsed by `parse`, or `default` if it is missing.
    pub(super) fn optional<T>(
        &self,
        key: &str,
        expected: &str,
        default: T,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T> {
        if self.text(key).is_none() {
            return Ok(default);
        }
        self.required(key, expected, parse)
    }

    /// Returns the number at `key`, which must be in `range`, or `default` if it is missing.
    pub(super) fn number<T>(&self, key: &str, default: T, range: RangeInclusive<T>) -> Result<T>
    where
        T: FromStr + PartialOrd + std::fmt::Display,
    {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        self.optional(key, &expected, default, |text| {
            text.parse().ok().filter(|number| range.contains(number))
        })
    }

    /// Returns the items of a comma-separated list, which has at least one.
    pub(super) fn list<T>(
        &self,
        key: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Vec<T>> {
        let text = self.required(key, expected, |text| Some(text.to_owned()))?;
        text.split(',')
            .map(str::trim)
            .map(|item| parse(item).ok_or_else(|| self.mismatch(key, expected, item)))
            .collect()
    }

    /// Creates an error about `key`.
    pub(super) fn error(&self, key: &str, expected: impl Into<String>) -> Error {
        let section = self.name.to_owned();
        Error::SettingsValue(self.path.clone(), section, key.to_owned(), expected.into())
    }

    fn mismatch(&self, key: &str, expected: &str, found: &str) -> Error {
        self.error(key, format!("expected {expected}, found {found:?}"))
    }

    fn check_keys(&self, keys: &[&str]) -> Result<()> {
        for (key, value) in self.properties.into_iter().flat_map(Properties::iter) {
            if !keys.contains(&key) {
                let expected = format!("unknown key, expected one of {}", keys.join(", "));
                return Err(self.error(key, expected));
            }
            if value.trim().is_empty() {
                return Err(self.error(key, "empty, expected a value"));
            }
            let n_values = self.properties.map_or(0, |all| all.get_all(key).count());
            if 1 < n_values {
                return Err(self.error(key, format!("occurs {n_values} times, expected once")));
            }
        }
        Ok(())
    }
}
