//! The load of each expert of each layer.

/// The load of each expert of each layer, in tokens a second.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpertLoads {
    experts: usize,
    rates: Vec<f32>,
}

impl ExpertLoads {
    /// Creates a table from the rates of all experts, layer by layer.
    ///
    /// Panics where the rates are not a whole number of layers.
    pub fn new(experts: u16, rates: Vec<f32>) -> Self {
        let experts = usize::from(experts);
        assert!(rates.len().is_multiple_of(experts), "whole_layers_of_rates");
        Self { experts, rates }
    }

    /// Returns the rates of one layer, one for each expert.
    pub fn layer(&self, layer: u16) -> &[f32] {
        let start = usize::from(layer) * self.experts;
        &self.rates[start..start + self.experts]
    }

    /// Returns the number of layers.
    pub fn layers(&self) -> usize {
        self.rates.len() / self.experts
    }
}
