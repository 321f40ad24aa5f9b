//! The comfreyhead daemon.

fn main() {}
