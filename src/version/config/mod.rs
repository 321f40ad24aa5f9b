//! The configuration stream: records, the fold over them and its content.
