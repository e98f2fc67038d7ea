//! Starts the parts of the limiter and serves until the process is asked to stop.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tracing::info;

use crate::driver::Driver;
use crate::front::clients::Handover;
use crate::front::{clients, external};
use crate::settings::config::Config;
use crate::settings::errors;
use crate::settings::extensions::Extensions;
use crate::tier::peers;
use crate::upgrade::{SuccessorHandle, UpgradeEndpoint};
use crate::upstream::discovery;
use crate::upstream::servers::HttpUpstream;
use crate::{logging, management, reload, transient, upgrade};

/// Runs a limiter as the environment configures it, with the optional features that the file at `extensions`
/// enables.
///
/// # Errors
/// A one-line message that names what could not be read or listened on.
pub fn run(extensions: Option<&Path>) -> Result<(), String> {
    #[cfg(feature = "planted")]
    fawnhill::planted::activate(
        std::env::var("MARLDEAL_PLANTED").ok().and_then(|f| fawnhill::planted::Fault::from_name(&f)),
    );
    let _final_lines = logging::FinalLines;
    let inherited = upgrade::inherit::listener()?;
    let runtime = transient::retry_blocking(|| {
        Builder::new_current_thread().enable_all().build_local(LocalOptions::default())
    });
    runtime.map_err(|e| format!("cannot start: {e}"))?.block_on(serve(extensions, inherited))
}

/// Serves until SIGTERM or SIGINT, then finishes the requests that were accepted.
async fn serve(extensions: Option<&Path>, inherited: Option<std::net::TcpListener>) -> Result<(), String> {
    // Installed first: until SIGHUP is handled, it ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let config = Arc::new(Config::from_environment()?);
    let extensions = match extensions {
        Some(path) => Extensions::from_file(path).map_err(|found| errors::summary(&found))?,
        None => Extensions::default(),
    };
    logging::init(&config.name, extensions.log);
    // Only an inherited listener can be shared by two processes. Without one there is nothing to hand over.
    let upgrade_socket = inherited.is_some().then(|| upgrade::socket_path(&config.name));
    let predecessor = match &upgrade_socket {
        Some(path) => upgrade::connect_to_predecessor(path).await,
        None => None,
    };
    let own_listener = inherited.is_none();
    let listener = match inherited {
        Some(listener) => {
            let adopted = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
            adopted.map_err(|e| format!("{}: {e}", upgrade::inherit::VARIABLE))?
        }
        None => listen(config.listen).await?,
    };
    let upstream = HttpUpstream::new(&config);
    let has_predecessor = predecessor.is_some();
    let driver = Driver::new(config, Rc::new(upstream.clone()), has_predecessor)?;
    if let Some(bounds) = extensions.final_answers {
        driver.enable_answer_cache(bounds);
        info!("keeps up to {} final answers by key", bounds.max_answers);
    }
    if let Some(max_customers) = extensions.prefetch {
        driver.enable_prefetch(max_customers);
        info!("prefetches quota units for up to {max_customers} customers");
    }
    if !has_predecessor {
        let socket =
            transient::retry(|| driver.open_peer_socket()).await.map_err(|e| format!("peer_listen: {e}"))?;
        if let Some(socket) = socket {
            tokio::task::spawn_local(peers::listen(driver.clone(), socket));
        }
    }
    let at = listener.local_addr().map_err(|e| format!("cannot read the listening address: {e}"))?;
    if let Some(at) = driver.config.management {
        let listener = listen(at).await?;
        let at = listener.local_addr().map_err(|e| format!("cannot read the listening address: {e}"))?;
        info!("management on {at}");
        tokio::task::spawn_local(management::serve(driver.clone(), listener));
    }
    let (stop, stopped) = watch::channel(false);
    let stop = Rc::new(stop);
    let proxies = match extensions.external_processor {
        Some(options) => {
            let listener = listen(options.listen).await?;
            let at = listener.local_addr().map_err(|e| format!("cannot read the listening address: {e}"))?;
            info!("external processor on {at}");
            let serving = external::serve(driver.clone(), options, listener, stopped);
            Some(tokio::task::spawn_local(serving))
        }
        None => None,
    };
    info!(event = "serving", limiter = %driver.config.name, %at, "serves on {at}");
    tokio::task::spawn_local(driver.clone().run_timers());
    tokio::task::spawn_local(async move { upstream.sweep().await });
    tokio::task::spawn_local(discovery::watch(driver.clone()));
    let (arrivals_sender, arrivals) = mpsc::unbounded_channel();
    let successor = Rc::<SuccessorHandle>::default();
    if let Some(path) = upgrade_socket {
        let (driver, endpoint) = (driver.clone(), UpgradeEndpoint { path, successor: successor.clone() });
        match predecessor {
            Some(stream) => drop(tokio::task::spawn_local(async move {
                upgrade::take_over(driver, stream, &endpoint, arrivals_sender).await;
            })),
            None => drop(tokio::task::spawn_local(upgrade::accept_successors(driver, endpoint))),
        }
    }
    tokio::task::spawn_local(reload::on_hangup(driver.clone(), hangup));
    let stopping = stop.clone();
    let signalled = async move {
        let signal_name = tokio::select! {
            _ = term.recv() => "SIGTERM",
            _ = int.recv() => "SIGINT",
        };
        let _ = stopping.send(true);
        signal_name
    };
    clients::serve(
        &driver,
        listener,
        Handover { arrivals, successor: successor.clone(), own_listener },
        signalled,
    )
    .await;
    if let Some(proxies) = proxies {
        let _ = proxies.await;
    }
    successor.finish().await;
    info!(event = "stopped", "stops");
    Ok(())
}

async fn listen(at: std::net::SocketAddr) -> Result<TcpListener, String> {
    transient::retry(|| TcpListener::bind(at)).await.map_err(|e| format!("cannot listen on {at}: {e}"))
}
