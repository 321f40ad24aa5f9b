//! Evidence that a request has not run and will not run.

/// Evidence that a request has not run and will not run. Every refusal requires it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(ProofSource);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProofSource {
    NeverSent,
    StatedByTargets,
}

impl NotRunProof {
    /// Creates the proof for a request of which no byte was sent to any target.
    pub fn never_sent() -> Self {
        Self(ProofSource::NeverSent)
    }

    /// Creates the proof for a request that every target it was sent to reported as not run.
    pub fn stated_by_targets() -> Self {
        Self(ProofSource::StatedByTargets)
    }

    /// Returns the source of the proof, for logs.
    pub fn source(self) -> &'static str {
        match self.0 {
            ProofSource::NeverSent => "never-sent",
            ProofSource::StatedByTargets => "stated-by-targets",
        }
    }
}
