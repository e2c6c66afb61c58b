//! Errors of runs that start stand-in servers and the program.

use crate::client::ClientError;
use crate::process::ProcessError;
use std::io;
use thiserror::Error;

/// Reason why a run with stand-in servers and the program failed.
#[derive(Debug, Error)]
pub enum RunError {
    /// Failure to start a stand-in server or to install a signal handler.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Failure to run the program.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// Missing response to a query that must be answered.
    #[error(transparent)]
    Client(#[from] ClientError),
}
