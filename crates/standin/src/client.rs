//! HTTP/1.1 requests on kept connections, with what is known of a request that got no answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection came about: the request was never sent.
    NotConnected,
    /// The connection ended before the whole answer: the request may have run.
    ConnectionLost,
}

/// A client that keeps its connections.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

impl Client {
    /// Sends a request and reads the whole answer. Dropping the future closes the connection.
    ///
    /// # Errors
    /// [`ExchangeError`] tells whether the request may have run.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let request = request.map(Full::new);
        let mut sender = match self.kept(addr) {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let answer = sender.try_send_request(request).await;
        let answer = match answer {
            Ok(answer) => answer,
            // A kept connection that the other side has closed gives the request back unsent.
            Err(mut e) => match e.take_message() {
                Some(request) => {
                    sender = connect(addr).await?;
                    sender.send_request(request).await.map_err(|_| ExchangeError::ConnectionLost)?
                }
                None => return Err(ExchangeError::ConnectionLost),
            },
        };
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|_| ExchangeError::ConnectionLost)?.to_bytes();
        if !sender.is_closed() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.entry(addr).or_default().push(sender);
        }
        Ok(Response::from_parts(head, body))
    }

    fn kept(&self, addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let all = idle.get_mut(&addr)?;
        while let Some(sender) = all.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, ExchangeError> {
    let stream = TcpStream::connect(addr).await.map_err(|_| ExchangeError::NotConnected)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|_| ExchangeError::NotConnected)?;
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}
