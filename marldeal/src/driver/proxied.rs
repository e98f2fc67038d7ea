//! Requests that proxies carry out: what their streams say goes to the external machine, its verdicts go back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marldeal_external::{self as external, Counts, ExternalProcessor, ProcessorConfig, StreamId, Verdict};
use tokio::sync::mpsc;

use super::{Driver, State};

/// What a stream of a proxy is told.
#[derive(Debug)]
pub struct ProxyReply {
    /// The verdict.
    pub verdict: Verdict,
    /// Where the granted attempt goes.
    pub node: Option<SocketAddr>,
    /// Milliseconds that it may take.
    pub left_ms: f64,
}

/// Requests that proxies carry out.
pub(super) struct Proxied {
    pub(super) machine: ExternalProcessor,
    pub(super) streams: HashMap<StreamId, mpsc::Sender<ProxyReply>>,
}

impl Driver {
    /// Proxies may ask from now on.
    pub fn enable_external_processor(&self, config: ProcessorConfig) {
        let machine = ExternalProcessor::new(config, &self.config.settings);
        self.state.borrow_mut().proxied = Some(Proxied { machine, streams: HashMap::new() });
    }

    /// Something that a stream said. `words` is where a stream that presents a request hears its verdicts.
    pub fn handle_proxy_input(
        self: &Rc<Self>,
        input: external::Input,
        words: Option<mpsc::Sender<ProxyReply>>,
    ) {
        let mut state = self.state.borrow_mut();
        if let (external::Input::Presented { stream, .. }, Some(words), Some(proxied)) =
            (&input, words, &mut state.proxied)
        {
            proxied.streams.insert(*stream, words);
        }
        let closed = match input {
            external::Input::Closed { stream } => Some(stream),
            _ => None,
        };
        self.give(&mut state, input);
        if let (Some(stream), Some(proxied)) = (closed, &mut state.proxied) {
            proxied.streams.remove(&stream);
        }
        self.perform(&mut state, None);
    }

    /// Requests of proxies that are open, and what has happened since the start.
    pub fn proxied_request_counts(&self) -> (usize, Counts) {
        let state = self.state.borrow();
        state
            .proxied
            .as_ref()
            .map_or((0, Counts::default()), |p| (p.machine.open_requests(), p.machine.counts()))
    }

    pub(super) fn give(&self, state: &mut State, input: external::Input) {
        let State { engine, proxied: Some(proxied), addresses, outputs, .. } = state else { return };
        let now = self.now();
        let mut out = Vec::new();
        proxied.machine.handle(now, input, engine, &mut out);
        for item in out {
            match item {
                external::Action::Engine(output) => outputs.push_back(output),
                external::Action::Reply { stream, verdict } => {
                    let grant = match &verdict {
                        Verdict::Admit(grant) | Verdict::Retry(grant) => Some(grant),
                        _ => None,
                    };
                    let node = grant.and_then(|g| addresses.get(&g.server)).copied();
                    let left_ms = grant.map_or(0.0, |g| g.deadline - now);
                    // A stream that is gone, or takes nothing in, has its end told by another way.
                    if let Some(words) = proxied.streams.get(&stream) {
                        let _ = words.try_send(ProxyReply { verdict, node, left_ms });
                    }
                }
            }
        }
    }
}
