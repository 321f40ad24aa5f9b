//! Which targets and peers are present, leaving or gone.
