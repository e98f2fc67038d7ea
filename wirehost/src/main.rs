//! Hosts instances of the decision module for a simulator: reads one JSON batch per line from standard input and writes
//! one JSON reply per line to standard output.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use std::sync::Arc;

use fawnhill::interface::{Action, Event, ServerEntry};
use fawnhill::Limiter;
use fawnhill_wirehost::wire::{self, Batch, Element, InputEvent, Names, OutputAction, Reply, Scope};

/// A simulated limiter.
struct Instance {
    id: Arc<str>,
    names: Names,
    limiter: Limiter,
}

/// All simulated limiters of this process, and the pages of server lists sent so far.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    pages: BTreeMap<u32, Vec<Element>>,
    actions: Vec<Action>,
}

impl Host {
    fn handle_batch(&mut self, batch: Batch) -> Result<Reply, String> {
        let mut steps = Vec::new();
        for (i, event) in batch.events.into_iter().enumerate() {
            self.handle_event(batch.moment_ms, event, &mut steps).map_err(|e| format!("event {i}: {e}"))?;
        }
        Ok(Reply { turn: batch.turn, steps })
    }

    fn handle_event(
        &mut self,
        now: f64,
        event: InputEvent,
        steps: &mut Vec<OutputAction>,
    ) -> Result<(), String> {
        let (id, event) = match event {
            InputEvent::NewInstance { limiter_id, seed, setup } => {
                return self.start_instance(now, limiter_id, seed, *setup)
            }
            InputEvent::Down { limiter_id } => {
                let removed = self.instances.remove(&limiter_id);
                return removed.map(|_| ()).ok_or_else(|| unknown_limiter(&limiter_id));
            }
            InputEvent::Census { page, elements } => {
                self.pages.insert(page, elements);
                return Ok(());
            }
            InputEvent::BackendsChanged { limiter_id, scope, page } => {
                let event = self.server_list_event(&limiter_id, scope, page)?;
                (limiter_id, event)
            }
            InputEvent::WorkItem(w) => {
                let request = self.instance(&w.limiter_id)?.names.request(&w)?;
                (w.limiter_id, Event::Request(request))
            }
            InputEvent::Streaming { limiter_id, ticket } => (limiter_id, Event::Streaming { id: ticket }),
            InputEvent::AttemptEnd(a) => {
                let event = Event::AttemptEnded {
                    id: a.ticket,
                    attempt: a.trial,
                    outcome: a.outcome.outcome(),
                    took_ms: a.duration_ms,
                    settled: a.no_more,
                    units: a.actual.filter(|u| *u > 0.0),
                    load: wire::load(a.telemetry),
                };
                (a.limiter_id, event)
            }
            InputEvent::ClientGone { limiter_id, ticket } => {
                (limiter_id, Event::ClientDisconnected { id: ticket })
            }
            InputEvent::TimeoutFired { limiter_id, key_back } => {
                (limiter_id, Event::Wake { token: key_back })
            }
            InputEvent::StatusBack { limiter_id, server, outcome, telemetry } => {
                let event = Event::Probed {
                    server: Arc::from(server),
                    outcome: outcome.outcome(),
                    load: wire::load(telemetry),
                };
                (limiter_id, event)
            }
            InputEvent::Heard { limiter_id, who, body } => {
                (limiter_id, Event::MessageReceived { from: who, body: wire::from_hex(&body)? })
            }
            InputEvent::Total { limiter_id, entry_name, outcome, sum } => {
                let total = sum.unwrap_or_default();
                (limiter_id, Event::Counted { name: entry_name, outcome: outcome.outcome(), total })
            }
        };
        let Host { instances, actions, .. } = self;
        let instance = instances.get_mut(&id).ok_or_else(|| unknown_limiter(&id))?;
        instance.limiter.handle(now, event, actions);
        steps.extend(actions.drain(..).map(|a| wire::action(instance.id.clone(), a)));
        Ok(())
    }

    fn start_instance(&mut self, now: f64, id: String, seed: u64, setup: wire::Setup) -> Result<(), String> {
        let (settings, names) = wire::settings(setup)?;
        let limiter = Limiter::new(settings, seed, now)?;
        let instance = Instance { id: Arc::from(id.as_str()), names, limiter };
        self.instances.insert(id, instance);
        Ok(())
    }

    fn instance(&self, id: &str) -> Result<&Instance, String> {
        self.instances.get(id).ok_or_else(|| unknown_limiter(id))
    }

    fn server_list_event(&self, id: &str, scope: Scope, page: Option<u32>) -> Result<Event, String> {
        let instance = self.instance(id)?;
        if scope == Scope::Failed {
            return Ok(Event::ListFailed);
        }
        let page = page.ok_or("BACKENDS_CHANGED requires Page")?;
        let lines = self.pages.get(&page).ok_or_else(|| format!("no CENSUS received for page {page}"))?;
        let entries: Result<Arc<[ServerEntry]>, String> =
            lines.iter().map(|e| wire::entry(e, &instance.names)).collect();
        Ok(Event::Servers { whole: scope != Scope::Delta, entries: entries? })
    }
}

fn unknown_limiter(id: &str) -> String {
    format!("no running limiter '{id}'")
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = std::io::stdout().lock();
    for (number, line) in std::io::stdin().lock().lines().enumerate() {
        let with_line_number = |e: String| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| with_line_number(e.to_string()))?;
        let batch: Batch = serde_json::from_str(&line).map_err(|e| with_line_number(e.to_string()))?;
        let reply = host.handle_batch(batch).map_err(with_line_number)?;
        let mut text = serde_json::to_vec(&reply).map_err(|e| with_line_number(e.to_string()))?;
        text.push(b'\n');
        out.write_all(&text).and_then(|()| out.flush()).map_err(|e| with_line_number(e.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fawnhill-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}
