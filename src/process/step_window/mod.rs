//! Step windows: all ranks of a group run a step on one expert map.
