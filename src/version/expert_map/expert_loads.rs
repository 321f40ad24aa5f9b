//! The load of each expert of each layer.

/// The load of each expert of each layer, in tokens a second.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertLoads {
    n_experts: usize,
    rates: Vec<f32>,
}

impl ExpertLoads {
    /// Creates a table from the rates of all experts, layer by layer.
    ///
    /// # Panics
    ///
    /// Panics if the number of rates is not a multiple of `experts`.
    pub fn new(experts: u16, rates: Vec<f32>) -> Self {
        let n_experts = usize::from(experts);
        assert!(
            rates.len().is_multiple_of(n_experts),
            "whole_layers_of_rates"
        );
        Self { n_experts, rates }
    }

    /// Returns the rate of each expert of a layer, in tokens a second.
    pub fn layer(&self, layer: u16) -> &[f32] {
        let start = usize::from(layer) * self.n_experts;
        &self.rates[start..start + self.n_experts]
    }

    /// Returns the number of layers.
    pub fn layers(&self) -> usize {
        self.rates.len() / self.n_experts
    }
}
