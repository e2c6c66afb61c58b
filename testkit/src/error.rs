//! Why a run of the kit could not be made.

use crate::client::ClientError;
use crate::process::ProcessError;
use std::io;
use thiserror::Error;

/// Why a run over stand-ins and the program could not be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// A stand-in or a signal handler could not be started.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The program could not be run.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A query that must be answered got no response.
    #[error(transparent)]
    Client(#[from] ClientError),
}
