//! Stand-ins for the systems that comfreyhead meets, for tests and examples only.
