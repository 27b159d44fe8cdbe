//! One budget of memory for all request bodies of a process.
//!
//! A body takes from the budget as its bytes arrive, so that neither announced lengths nor many small pieces get around it.
//! When the budget is used up, [`Budget`] decides which body gives way; a [`Reservation`] carries the decision to its reader
//! and returns its bytes when it is dropped, whatever the reason. The bytes of a received body own their reservation, so
//! that they are accounted for until the last copy of the handle is gone.

mod body;
mod budget;
mod reservation;

pub use body::RequestBodyError;
pub use budget::{Budget, Growth, HolderId, SMALL_BODY_BYTES};
pub use reservation::{MemoryBudget, OutOfMemory, Reservation};
