//! Requests that proxies carry out: the events of their streams go to the external processor, and its verdicts go
//! back.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use marldeal_external::{self as external, Counts, ExternalProcessor, ProcessorConfig, StreamId, Verdict};
use tokio::sync::mpsc;

use super::{Driver, State};

/// What the stream of a proxy receives.
#[derive(Debug)]
pub struct ProxyReply {
    /// The verdict.
    pub verdict: Verdict,
    /// The address of the server for a granted attempt.
    pub server_addr: Option<SocketAddr>,
    /// Time that the granted attempt names to its server and may take, in milliseconds.
    pub remaining_ms: f64,
}

/// The external processor and the streams of proxies that wait for its verdicts.
pub(super) struct ProxyRequests {
    pub(super) processor: ExternalProcessor,
    pub(super) streams: HashMap<StreamId, mpsc::Sender<ProxyReply>>,
}

impl Driver {
    /// Lets proxies present requests from now on.
    pub fn enable_external_processor(&self, config: ProcessorConfig) {
        let processor = ExternalProcessor::new(config, &self.config.settings);
        self.state.borrow_mut().proxy_requests = Some(ProxyRequests { processor, streams: HashMap::new() });
    }

    /// Handles an event of a stream. A stream that presents a request receives its verdicts through `replies`.
    pub fn handle_proxy_input(
        self: &Rc<Self>,
        input: external::Input,
        replies: Option<mpsc::Sender<ProxyReply>>,
    ) {
        let mut state = self.state.borrow_mut();
        if let (external::Input::Presented { stream, .. }, Some(replies), Some(proxy_requests)) =
            (&input, replies, &mut state.proxy_requests)
        {
            proxy_requests.streams.insert(*stream, replies);
        }
        let closed = match input {
            external::Input::Closed { stream } => Some(stream),
            _ => None,
        };
        self.handle_external_input(&mut state, input);
        if let (Some(stream), Some(proxy_requests)) = (closed, &mut state.proxy_requests) {
            proxy_requests.streams.remove(&stream);
        }
        self.execute_outputs(&mut state, None);
    }

    /// The number of open requests of proxies, and the counters since the start.
    pub fn proxied_request_counts(&self) -> (usize, Counts) {
        let state = self.state.borrow();
        state
            .proxy_requests
            .as_ref()
            .map_or((0, Counts::default()), |p| (p.processor.open_requests(), p.processor.counts()))
    }

    pub(super) fn handle_external_input(&self, state: &mut State, input: external::Input) {
        let State { engine, proxy_requests: Some(proxied), listed, outputs, .. } = state else { return };
        let now = self.now();
        let mut actions = Vec::new();
        proxied.processor.handle(now, input, engine, &mut actions);
        for action in actions {
            match action {
                external::Action::Engine(output) => outputs.push_back(output),
                external::Action::Reply { stream, verdict } => {
                    let grant = match &verdict {
                        Verdict::Admit(grant) | Verdict::Retry(grant) => Some(grant),
                        _ => None,
                    };
                    let server_addr = grant.and_then(|g| listed.get(&g.server)).map(|instance| instance.addr);
                    let remaining_ms = grant.map_or(0.0, |g| self.time_left_ms(g.deadline));
                    // A stream that has closed, or whose queue is full, learns of its end in another way.
                    if let Some(replies) = proxied.streams.get(&stream) {
                        let _ = replies.try_send(ProxyReply { verdict, server_addr, remaining_ms });
                    }
                }
            }
        }
    }
}
