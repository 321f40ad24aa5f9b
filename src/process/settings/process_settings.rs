//! The identity of a process.

use crate::prelude::*;

use super::SectionNeed;
use super::section_reader::{FileReader, SectionReader};

/// The expected form of a name, for error messages.
const NAME_FORMAT: &str = "a name of lower-case letters, digits, '-', '_' and '.'";

/// The section `[process]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    /// The name of the process, unique in the deployment.
    pub name: Arc<str>,
    /// The data centre that the process runs in.
    pub data_centre: DataCentreName,
    /// The incarnation of the process; if `None`, it is taken from the clock at startup.
    pub incarnation: Option<ProcessIncarnation>,
}

impl ProcessSettings {
    pub(super) fn read(file: &FileReader<'_>) -> Result<Self> {
        let section = process_section(file)?;
        let incarnation = section.optional("incarnation", "a number from 1", None, |text| {
            let number = text.parse().ok().filter(|number| 1 <= *number)?;
            Some(Some(ProcessIncarnation(number)))
        })?;
        Ok(Self {
            name: section.required("name", NAME_FORMAT, parse_name)?,
            data_centre: section.required("data_centre", NAME_FORMAT, parse_name)?,
            incarnation,
        })
    }
}

/// Opens the section `[process]`.
pub(super) fn process_section<'a>(file: &FileReader<'a>) -> Result<SectionReader<'a>> {
    let keys = ["name", "role", "data_centre", "incarnation"];
    file.section("process", SectionNeed::Required, &keys)
}

fn parse_name<T: for<'a> From<&'a str>>(text: &str) -> Option<T> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    text.chars().all(is_allowed).then(|| T::from(text))
}
