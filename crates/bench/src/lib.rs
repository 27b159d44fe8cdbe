//! Work in progress.
