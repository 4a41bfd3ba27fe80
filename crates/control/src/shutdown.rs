//! Graceful shutdown of a process.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Requests a shutdown of the process.
pub type ShutdownSender = watch::Sender<bool>;

/// Notifies a part of the process of a shutdown request.
#[derive(Clone)]
pub struct ShutdownSignal {
    rx: watch::Receiver<bool>,
}

impl ShutdownSignal {
    /// Waits until a shutdown is requested.
    pub async fn requested(&mut self) {
        // A dropped sender counts as a shutdown request.
        let _ = self.rx.wait_for(|requested| *requested).await;
    }

    /// Returns whether a shutdown has been requested.
    pub fn is_requested(&self) -> bool {
        *self.rx.borrow()
    }
}

/// Creates a sender and the receiver of its shutdown request.
pub fn shutdown_channel() -> (ShutdownSender, ShutdownSignal) {
    let (tx, rx) = watch::channel(false);
    (tx, ShutdownSignal { rx })
}

/// Requests a shutdown on SIGTERM or SIGINT; must be called inside the runtime.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub fn shutdown_on_signals() -> std::io::Result<ShutdownSignal> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (tx, shutdown) = shutdown_channel();
    ntex::rt::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("received SIGTERM or SIGINT; shutting down");
        // Sending fails if no receiver is left, because the process is already shutting down.
        let _ = tx.send(true);
    });
    Ok(shutdown)
}
