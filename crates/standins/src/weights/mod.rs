//! stand-in for the weight store.
