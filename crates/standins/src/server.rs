//! HTTP servers of the stand-ins, each on its own thread.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use ntex::web::{self, App, ServiceConfig};

/// Binds the listener of a stand-in.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Serves the routes added by `configure` on `listener` until the process ends.
pub(crate) fn spawn<F>(name: &str, listener: TcpListener, configure: F) -> io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + Sync + 'static,
{
    let name = name.to_owned();
    thread::Builder::new().name(name.clone()).spawn(move || {
        let system = ntex::rt::System::new(&name, ntex::rt::DefaultRuntime);
        system.block_on(async move {
            let server =
                web::HttpServer::new(async move || App::new().configure(configure.clone()))
                    .workers(1)
                    .disable_signals()
                    .listen(listener)?;
            server.run().await
        })
    })?;
    Ok(())
}
