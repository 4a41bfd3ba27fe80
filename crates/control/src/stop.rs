//! Ending a process in order.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Asks the parts of a process to end.
pub type StopHandle = watch::Sender<bool>;

/// Tells a part of a process when to end.
#[derive(Clone)]
pub struct Stop {
    rx: watch::Receiver<bool>,
}

impl Stop {
    /// Waits until the process is asked to end.
    pub async fn asked(&mut self) {
        // A dropped handle can't ask any more; it counts as having asked.
        let _ = self.rx.wait_for(|stop| *stop).await;
    }

    /// Tells whether the process has been asked to end.
    pub fn is_asked(&self) -> bool {
        *self.rx.borrow()
    }
}

/// Makes a handle and what it stops.
pub fn stop_channel() -> (StopHandle, Stop) {
    let (tx, rx) = watch::channel(false);
    (tx, Stop { rx })
}

/// Stops on SIGTERM and SIGINT; call it inside the runtime.
///
/// # Errors
///
/// Fails when a signal can't be listened to.
pub fn stop_on_signals() -> std::io::Result<Stop> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (tx, stop) = stop_channel();
    ntex::rt::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("asked to stop");
        // Nobody listening means that the process is ending already.
        let _ = tx.send(true);
    });
    Ok(stop)
}
