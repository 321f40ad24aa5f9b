//! Expert maps: which rank holds which expert, and how a map is planned.
