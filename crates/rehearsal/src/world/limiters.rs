//! What limiters ask to be done, when they are called again, and how they come and go.

use super::*;

impl World {
    pub(super) fn tell(&mut self, limiter: usize, input: Input) {
        let Some(engine) = self.limiters[limiter].engine.as_mut() else { return };
        let mut outputs = std::mem::take(&mut self.outputs);
        let began = self.decision_time.map(|_| std::time::Instant::now());
        engine.handle(self.now, input, &mut outputs);
        self.took(began);
        self.perform(limiter, outputs);
    }

    pub(super) fn took(&mut self, began: Option<std::time::Instant>) {
        if let (Some(sum), Some(began)) = (&mut self.decision_time, began) {
            *sum += began.elapsed();
        }
    }

    pub(super) fn perform(&mut self, limiter: usize, mut outputs: Vec<Output>) {
        if let Some(mut tap) = self.tap.take() {
            outputs = outputs.drain(..).flat_map(|o| tap(self.now, limiter, o)).collect();
            self.tap = Some(tap);
        }
        for output in outputs.drain(..) {
            if self.limiters[limiter].external.as_ref().is_some_and(|e| e.owns(&output)) {
                self.give(limiter, external::Input::Engine(output));
                continue;
            }
            match output {
                Output::Send { id, attempt, server, .. } => {
                    if let Some(try_id) = self.limiters[limiter].open.get(&id).copied() {
                        let key = self.sends(limiter, try_id, Some(id), attempt, &server);
                        key.map(|key| self.limiters[limiter].attempts.insert((id, attempt), key));
                    }
                }
                Output::Stop { id, attempt, outcome } => self.stops(limiter, id, attempt, outcome),
                Output::Answer { id, answer } => self.answers(limiter, id, answer),
                Output::SendMessage { to, body } => self.mails(limiter, to, &body),
                Output::CloseIdle { server } => {
                    if let Some(node) = self.by_id.get(&server).copied() {
                        self.close_idle(limiter, node);
                    }
                }
                // The watch is always on. Log lines are for staff at a real limiter.
                Output::RefreshWatch | Output::FetchServerList | Output::Log(_) => {}
            }
        }
        self.outputs = outputs;
        self.arm(limiter);
    }

    /// Notes when a limiter is to be called again.
    pub(super) fn arm(&mut self, limiter: usize) {
        let l = &mut self.limiters[limiter];
        let engine = l.engine.as_mut().and_then(Engine::next_due);
        let external = l.external.as_mut().and_then(ExternalProcessor::next_due);
        let next = engine.into_iter().chain(external).min_by(f64::total_cmp);
        if next != l.armed {
            l.armed = next;
            if let Some(at) = next {
                let epoch = l.epoch;
                self.note(at, Event::Due { limiter, epoch, at: at.to_bits() });
            }
        }
    }

    pub(super) fn answers(&mut self, limiter: usize, id: RequestId, answer: Answer) {
        let l = &mut self.limiters[limiter];
        let Some(try_id) = l.open.remove(&id) else { return };
        l.ids.remove(&try_id);
        self.account.request_finished(self.now, limiter, id, matches!(answer, Answer::Refused { .. }));
        self.answered(limiter, try_id, answer);
    }

    pub(super) fn answered(&mut self, limiter: usize, try_id: u64, answer: Answer) {
        let excused = self.limiters[limiter].excused(self.now);
        self.tries.remove(&try_id);
        self.oracle.try_answered(self.now, try_id, answer, excused);
        let at = self.now + draws::between(&mut self.rng, CLIENT_MS);
        self.note(at, Event::Answered { try_id, got: TryResult::Answer(answer) });
    }

    pub(super) fn mails(&mut self, from: usize, to: Option<u32>, body: &[u8]) {
        let all = 0..self.limiters.len();
        let peers = all.filter(|peer| *peer != from && to.is_none_or(|to| to as usize == *peer));
        let lines = fawnhill::line_kinds(body).unwrap_or_default();
        for peer in peers.collect::<Vec<_>>() {
            self.account.message_sent(self.now, from, body.len(), &lines);
            let mut arrivals = Vec::new();
            self.post.arrivals(from, peer, &mut self.rng, &mut arrivals);
            self.recorder.message_sent(self.now, body.len(), !arrivals.is_empty());
            for arrival in arrivals {
                let (at, body) = (self.now + arrival.after_ms, arrival.body(body.to_vec()));
                self.note(at, Event::Mail { limiter: peer, from: from as u32, body });
            }
        }
    }

    pub(super) fn mail_arrives(&mut self, limiter: usize, from: u32, body: Vec<u8>) {
        if self.post.accepts(self.now, limiter) {
            let lines = fawnhill::line_kinds(&body).unwrap_or_default();
            self.account.message_received(self.now, limiter, body.len(), &lines);
            self.tell(limiter, Input::MessageReceived { from, body });
        } else {
            self.recorder.messages[1] += 1;
        }
    }

    pub(super) fn comes_up(&mut self, limiter: usize) {
        let l = &mut self.limiters[limiter];
        if l.engine.is_some() {
            return;
        }
        l.epoch += 1;
        let settings = self.scenario.settings(limiter as u32);
        let seed: u64 = l.rng.random();
        let config = ProcessorConfig { retry_mode: RetryMode::SameStream, ..ProcessorConfig::default() };
        l.external = Some(ExternalProcessor::new(config, &settings));
        // Its settings were checked before the run.
        l.engine = Engine::new(settings, seed, self.now).ok();
        if limiter < self.scenario.limiters.prefetch as usize {
            let most = self.scenario.limiters.firms as usize;
            l.engine.iter_mut().for_each(|engine| engine.enable_prefetch(most));
        }
        (l.listening, l.armed) = (true, None);
        let entries: Arc<[ServerEntry]> =
            l.view.iter().filter(|e| e.condition != Condition::Gone).cloned().collect();
        let view = l.view.clone();
        for entry in &view {
            let node = self.by_id[&entry.server];
            self.oracle.server_notice(self.now, limiter, node, entry.condition == Condition::Serving);
        }
        self.tell(limiter, Input::Servers { whole: true, entries });
    }

    /// SIGTERM: what it has is finished and new connections are taken for a while yet.
    pub(super) fn asked_to_end(&mut self, limiter: usize, down_ms: Millis) {
        let (epoch, now) = (self.limiters[limiter].epoch, self.now);
        let l = &self.scenario.limiters;
        let (close, kill) = (now + l.close_s * 1000.0, now + l.kill_s * 1000.0);
        self.note(close, Event::Closes { limiter, epoch, down_ms });
        self.note(kill, Event::Killed { limiter, epoch, down_ms });
    }

    pub(super) fn closes(&mut self, limiter: usize, epoch: u32, down_ms: Millis) {
        if self.limiters[limiter].epoch != epoch {
            return;
        }
        self.limiters[limiter].listening = false;
        if self.limiters[limiter].open.is_empty() && self.limiters[limiter].presented.is_empty() {
            self.dies(limiter, down_ms);
        } else {
            // Looked at again soon: it ends once all it has taken is answered.
            self.note(self.now + 20.0, Event::Closes { limiter, epoch, down_ms });
        }
    }

    pub(super) fn dies(&mut self, limiter: usize, down_ms: Millis) {
        let l = &mut self.limiters[limiter];
        if l.engine.take().is_none() {
            return;
        }
        (l.listening, l.armed) = (false, None);
        l.epoch += 1;
        l.open.clear();
        l.external = None;
        for id in l.ids.values() {
            self.account.request_finished(self.now, limiter, *id, false);
        }
        let mut held: Vec<u64> = l.ids.drain().map(|(try_id, _)| try_id).collect();
        held.extend(l.presented.drain());
        held.sort_unstable();
        let mut out: Vec<u64> = l.attempts.drain().map(|(_, key)| key).collect();
        out.extend(l.carried.drain().map(|(_, key)| key));
        out.sort_unstable();
        let idle: Vec<usize> = l.idle.iter_mut().map(|idle| std::mem::take(idle).len()).collect();
        for (node, connections) in idle.into_iter().enumerate().filter(|(_, n)| *n > 0) {
            self.machines[node].node.disconnect(self.now, connections);
        }
        self.oracle.limiter_exited(limiter);
        for try_id in held {
            self.tries.remove(&try_id);
            let at = self.now + draws::between(&mut self.rng, CLIENT_MS);
            self.note(at, Event::Answered { try_id, got: TryResult::NoAnswer });
        }
        for key in out {
            self.abandon(key);
        }
        self.note(self.now + down_ms, Event::Up { limiter });
    }

    /// An attempt whose connection has ended on the limiter's side.
    pub(super) fn abandon(&mut self, key: u64) {
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.over = true;
        let (node, at, connected) = (attempt.node, self.now + attempt.way, attempt.connected);
        if connected {
            self.machines[node].node.disconnect(self.now, 1);
            self.rearm(node);
        }
        self.note(at, Event::CancelArrives { node, key });
    }
}
