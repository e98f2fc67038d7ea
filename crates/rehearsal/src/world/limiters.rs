//! Calls of the limiters, their outputs, and their starts and stops.

use super::*;

impl World {
    /// Passes an input to a limiter's engine, if it runs, and performs the outputs.
    pub(super) fn handle_input(&mut self, limiter: usize, input: Input) {
        let Some(engine) = self.limiters[limiter].engine.as_mut() else { return };
        let mut outputs = std::mem::take(&mut self.outputs);
        let began = self.decision_time.map(|_| std::time::Instant::now());
        engine.handle(self.now, input, &mut outputs);
        self.add_decision_time(began);
        self.perform_outputs(limiter, outputs);
    }

    /// Adds the time since `began` to the measured decision time.
    pub(super) fn add_decision_time(&mut self, began: Option<std::time::Instant>) {
        if let (Some(sum), Some(began)) = (&mut self.decision_time, began) {
            *sum += began.elapsed();
        }
    }

    /// Performs the outputs of a limiter's engine.
    pub(super) fn perform_outputs(&mut self, limiter: usize, mut outputs: Vec<Output>) {
        if let Some(mut hook) = self.output_hook.take() {
            outputs = outputs.drain(..).flat_map(|o| hook(self.now, limiter, o)).collect();
            self.output_hook = Some(hook);
        }
        for output in outputs.drain(..) {
            if self.limiters[limiter].external.as_ref().is_some_and(|e| e.owns(&output)) {
                self.handle_external(limiter, external::Input::Engine(output));
                continue;
            }
            match output {
                Output::Send { id, attempt, server, .. } => {
                    if let Some(try_id) = self.limiters[limiter].try_by_request.get(&id).copied() {
                        let key = self.send_attempt(limiter, try_id, Some(id), attempt, &server);
                        key.map(|key| self.limiters[limiter].attempts.insert((id, attempt), key));
                    }
                }
                Output::Stop { id, attempt, outcome } => self.stop_attempt(limiter, id, attempt, outcome),
                Output::Answer { id, answer } => self.finish_request(limiter, id, answer),
                Output::SendMessage { to, body } => self.send_message(limiter, to, &body),
                Output::CloseIdle { server } => {
                    if let Some(server) = self.by_id.get(&server).copied() {
                        self.close_idle_connections(limiter, server);
                    }
                }
                // The virtual watch on the server list never fails, no limiter hands over, and nobody reads the log
                // lines.
                Output::RefreshWatch
                | Output::FetchServerList
                | Output::SendHandoverMessage { .. }
                | Output::CompleteBody { .. }
                | Output::PassOnResponse { .. }
                | Output::Log(_)
                | Output::Trace(_) => {}
            }
        }
        self.outputs = outputs;
        self.schedule_limiter(limiter);
    }

    /// Schedules the next call of a limiter.
    pub(super) fn schedule_limiter(&mut self, limiter: usize) {
        let l = &mut self.limiters[limiter];
        let engine = l.engine.as_mut().and_then(Engine::next_due);
        let external = l.external.as_mut().and_then(ExternalProcessor::next_due);
        let next = engine.into_iter().chain(external).min_by(f64::total_cmp);
        if next != l.scheduled_at {
            l.scheduled_at = next;
            if let Some(at) = next {
                let epoch = l.epoch;
                self.schedule(at, Event::LimiterDue { limiter, epoch, at: at.to_bits() });
            }
        }
    }

    /// Handles the final answer of a limiter to a direct request.
    pub(super) fn finish_request(&mut self, limiter: usize, id: RequestId, answer: Answer) {
        let l = &mut self.limiters[limiter];
        let Some(try_id) = l.try_by_request.remove(&id) else { return };
        l.request_by_try.remove(&try_id);
        self.account.request_finished(self.now, limiter, id, matches!(answer, Answer::Refused { .. }));
        self.send_answer(limiter, try_id, answer);
    }

    /// Sends a final answer to the client of a try.
    pub(super) fn send_answer(&mut self, limiter: usize, try_id: u64, answer: Answer) {
        let excused = self.limiters[limiter].excused(self.now);
        let sent = self.tries.remove(&try_id);
        if let (Answer::Refused { .. }, Some(sent)) = (&answer, sent) {
            self.count_refusal(sent.inside_quota);
        }
        self.oracle.try_answered(self.now, try_id, answer, excused);
        let at = self.now + draws::between(&mut self.rng, CLIENT_LATENCY_MS);
        self.schedule(at, Event::AnswerArrives { try_id, result: TryResult::Answer(answer) });
    }

    /// Counts a refusal with what the servers are doing now, if that was asked for.
    fn count_refusal(&mut self, inside_quota: bool) {
        let Some(mut causes) = self.causes else { return };
        let is_cold =
            |server: usize| self.slow_start.as_ref().is_some_and(|judge| judge.is_cold(self.now, server));
        let has_room =
            |server: usize| self.slow_start.as_ref().is_some_and(|judge| judge.has_room(self.now, server));
        let running = || (0..self.servers.len()).filter(|server| self.servers[*server].model.running());
        let is_full = |server: usize| {
            let model = &self.servers[server].model;
            model.held() >= model.parameters().slots
        };
        let warm = || running().filter(|server| !is_cold(*server));
        let state = FleetState {
            cold_room: running().any(has_room),
            warm_full: warm().next().is_some() && warm().all(is_full),
            idle: running().any(|server| self.servers[server].model.held() == 0),
        };
        causes.count(!inside_quota, state);
        self.causes = Some(causes);
    }

    /// Sends a message from a limiter to one peer, or to all.
    pub(super) fn send_message(&mut self, from: usize, to: Option<u32>, body: &[u8]) {
        let all = 0..self.limiters.len();
        let peers = all.filter(|peer| *peer != from && to.is_none_or(|to| to as usize == *peer));
        let line_kinds = fawnhill::line_kinds(body).unwrap_or_default();
        for peer in peers.collect::<Vec<_>>() {
            self.account.message_sent(self.now, from, body.len(), &line_kinds);
            let mut arrivals = Vec::new();
            self.network.arrivals(from, peer, &mut self.rng, &mut arrivals);
            self.recorder.message_sent(self.now, body.len(), !arrivals.is_empty());
            for arrival in arrivals {
                let (at, body) = (self.now + arrival.after_ms, arrival.body(body.to_vec()));
                self.schedule(at, Event::MessageArrives { limiter: peer, from: from as u32, body });
            }
        }
    }

    /// A message arrives at a limiter, which drops it if it exceeds its message rate.
    pub(super) fn receive_message(&mut self, limiter: usize, from: u32, body: Vec<u8>) {
        if self.network.accepts(self.now, limiter) {
            let line_kinds = fawnhill::line_kinds(&body).unwrap_or_default();
            self.account.message_received(self.now, limiter, body.len(), &line_kinds);
            self.handle_input(limiter, Input::MessageReceived { from, body });
        } else {
            self.recorder.messages[1] += 1;
        }
    }

    /// Starts a limiter that is down.
    pub(super) fn start_limiter(&mut self, limiter: usize) {
        let l = &mut self.limiters[limiter];
        if l.engine.is_some() {
            return;
        }
        l.epoch += 1;
        let settings = self.scenario.settings(limiter as u32);
        let seed: u64 = l.rng.random();
        let config = ProcessorConfig { retry_mode: RetryMode::SameStream, ..ProcessorConfig::default() };
        l.external = Some(ExternalProcessor::new(config, &settings));
        // The settings were checked before the run, so this succeeds.
        l.engine = Engine::new(settings, seed, self.now).ok();
        if limiter < self.scenario.limiters.prefetch as usize {
            let max_customers = self.scenario.limiters.firms as usize;
            l.engine.iter_mut().for_each(|engine| engine.enable_prefetch(max_customers));
        }
        (l.listening, l.scheduled_at) = (true, None);
        let entries: Arc<[ServerEntry]> =
            l.known_servers.iter().filter(|e| e.condition != Condition::Gone).cloned().collect();
        let known_servers = l.known_servers.clone();
        for entry in &known_servers {
            let server = self.by_id[&entry.server];
            self.oracle.server_notice(self.now, limiter, server, entry.condition == Condition::Serving);
        }
        self.handle_input(limiter, Input::Servers { whole: true, entries });
    }

    /// Sends SIGTERM to a limiter: it accepts connections for a while yet, finishes its requests and exits, or is
    /// killed after the grace period.
    pub(super) fn terminate_limiter(&mut self, limiter: usize, down_ms: Millis) {
        let (epoch, now) = (self.limiters[limiter].epoch, self.now);
        let l = &self.scenario.limiters;
        let (close, kill) = (now + l.close_s * 1000.0, now + l.kill_s * 1000.0);
        self.schedule(close, Event::LimiterCloses { limiter, epoch, down_ms });
        self.schedule(kill, Event::LimiterKilled { limiter, epoch, down_ms });
    }

    /// Stops accepting connections at a limiter that was asked to exit, and stops it once all its requests are
    /// answered.
    pub(super) fn close_limiter(&mut self, limiter: usize, epoch: u32, down_ms: Millis) {
        if self.limiters[limiter].epoch != epoch {
            return;
        }
        self.limiters[limiter].listening = false;
        if self.limiters[limiter].try_by_request.is_empty() && self.limiters[limiter].proxied_tries.is_empty()
        {
            self.stop_limiter(limiter, down_ms);
        } else {
            // The limiter exits once all requests that it accepted are answered; this is checked again soon.
            self.schedule(self.now + 20.0, Event::LimiterCloses { limiter, epoch, down_ms });
        }
    }

    /// Ends the process of a limiter at once and schedules its next start.
    pub(super) fn stop_limiter(&mut self, limiter: usize, down_ms: Millis) {
        let l = &mut self.limiters[limiter];
        if l.engine.take().is_none() {
            return;
        }
        (l.listening, l.scheduled_at) = (false, None);
        l.epoch += 1;
        l.try_by_request.clear();
        l.external = None;
        for id in l.request_by_try.values() {
            self.account.request_finished(self.now, limiter, *id, false);
        }
        let mut unanswered: Vec<u64> = l.request_by_try.drain().map(|(try_id, _)| try_id).collect();
        unanswered.extend(l.proxied_tries.drain());
        unanswered.sort_unstable();
        let mut outstanding: Vec<u64> = l.attempts.drain().map(|(_, key)| key).collect();
        outstanding.extend(l.proxied_attempts.drain().map(|(_, key)| key));
        outstanding.sort_unstable();
        let idle: Vec<usize> = l.idle_since.iter_mut().map(|idle| std::mem::take(idle).len()).collect();
        for (server, connections) in idle.into_iter().enumerate().filter(|(_, n)| *n > 0) {
            self.servers[server].model.disconnect(self.now, connections);
        }
        self.oracle.limiter_exited(limiter);
        for try_id in unanswered {
            self.tries.remove(&try_id);
            let at = self.now + draws::between(&mut self.rng, CLIENT_LATENCY_MS);
            self.schedule(at, Event::AnswerArrives { try_id, result: TryResult::NoAnswer });
        }
        for key in outstanding {
            self.abandon_attempt(key);
        }
        self.schedule(self.now + down_ms, Event::LimiterStarts { limiter });
    }

    /// Closes the connection of an attempt on the limiter's side.
    pub(super) fn abandon_attempt(&mut self, key: u64) {
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.ended = true;
        let (server, at, connected) = (attempt.server, self.now + attempt.latency, attempt.connected);
        if connected {
            self.servers[server].model.disconnect(self.now, 1);
            self.schedule_server(server);
        }
        self.schedule(at, Event::CancelArrives { server, key });
    }
}
