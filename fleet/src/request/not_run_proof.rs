//! The proof that a request has not run and will not.

/// The proof that a request has not run and will not, which every refusal carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(ProofSource);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProofSource {
    NeverSent,
    StatedByTargets,
}

impl NotRunProof {
    /// Creates the proof for a request of which no byte was sent to a target.
    pub fn never_sent() -> Self {
        Self(ProofSource::NeverSent)
    }

    /// Creates the proof for a request that each target it was sent to stated not to have run.
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
