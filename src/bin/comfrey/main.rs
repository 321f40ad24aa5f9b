//! The operators' command-line tool.

fn main() {}
