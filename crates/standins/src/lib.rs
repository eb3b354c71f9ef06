//! small stand-ins for outside systems.
