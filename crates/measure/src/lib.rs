//! Measurements of the decision code over a virtual clock.
