//! Couriers started, ended and killed.

use super::*;
use rustix::process::Signal;
use tokio::time::timeout;

impl World {
    pub(super) fn process(&self, courier: usize, what: ProcessEvent) {
        self.recorder.record(Event::Process { courier: CourierId(courier as u16), change: what });
    }

    pub(super) async fn start(self: &Rc<Self>, courier: usize) -> Result<(), RunError> {
        let place = &self.places[courier];
        let config = self.configure(courier).map_err(doing("a courier's configuration"))?;
        self.process(courier, ProcessEvent::Started);
        let ending = Rc::new(Cell::new(false));
        *place.ending.borrow_mut() = ending.clone();
        let started = Courier::start(&self.launch, &config, &place.folder.join("state")).await;
        let process = started.map_err(|error| RunError::Start { courier, error })?;
        place.clients.set_address(Some(process.address()));
        self.watch(courier, &process, ending);
        *place.process.borrow_mut() = Some(process);
        while !place.clients.ping().await {
            if place.process.borrow().as_ref().is_none_or(Courier::has_exited) {
                return Ok(());
            }
            sleep(Duration::from_millis(5)).await;
        }
        self.process(courier, ProcessEvent::Ready);
        place.serving.set(true);
        Ok(())
    }

    /// Notes a crash: an end that nobody asked for.
    fn watch(self: &Rc<Self>, courier: usize, process: &Courier, ending: Rc<Cell<bool>>) {
        let (mut ended, log, world) = (process.exit_watch(), process.log(), self.clone());
        spawn_local(async move {
            // The sender goes only after it has told.
            let _ = ended.wait_for(|ended| *ended).await;
            let place = &world.places[courier];
            if !ending.get() {
                world.process(courier, ProcessEvent::Crashed);
                place.serving.set(false);
                place.clients.set_address(None);
                let last = log.borrow().back().cloned().unwrap_or_default();
                world.remark(format!("courier {courier} ended by itself; its last line: {last}"));
            }
        });
    }

    /// Starts a second process beside the running one, which takes the courier over; then the first ends. To the judge the two
    /// are one courier that goes on: every rule holds over it.
    pub(super) async fn upgrade(self: &Rc<Self>, courier: usize) {
        let place = &self.places[courier];
        if !place.serving.get() {
            return;
        }
        let config = match self.configure(courier) {
            Ok(config) => config,
            Err(error) => return self.remark(format!("no new configuration could be written: {error}")),
        };
        let new = match Courier::start(&self.launch, &config, &place.folder.join("state")).await {
            Ok(new) => new,
            Err(error) => {
                self.process(courier, ProcessEvent::Crashed);
                return self.remark(format!("courier {courier} was not taken over: {error}"));
            }
        };
        let ending = Rc::new(Cell::new(false));
        place.ending.replace(ending.clone()).set(true);
        self.watch(courier, &new, ending);
        let Some(old) = place.process.replace(Some(new)) else { return };
        old.signal(Signal::TERM);
        if !old.wait_for_exit(END).await {
            self.remark(format!(
                "the process before of courier {courier} was still there 3.7 s after SIGTERM"
            ));
        }
    }

    pub(super) async fn terminate(self: &Rc<Self>, courier: usize) {
        let place = &self.places[courier];
        place.ending.borrow().set(true);
        place.signalled.set(Some(Instant::now()));
        self.process(courier, ProcessEvent::Terminated);
        let ended = {
            let process = place.process.borrow();
            let Some(process) = &*process else { return };
            process.signal(Signal::TERM);
            process.exit_watch()
        };
        sleep(FRONT_NOTICES).await;
        place.serving.set(false);
        let mut waiting = ended;
        if timeout(END - FRONT_NOTICES, waiting.wait_for(|ended| *ended)).await.is_err() {
            self.remark(format!("courier {courier} was still there 3.7 s after SIGTERM, and was killed"));
            if let Some(process) = &*place.process.borrow() {
                process.signal(Signal::KILL);
            }
        }
        place.clients.set_address(None);
        self.process(courier, ProcessEvent::Ended);
    }

    pub(super) fn kill(self: &Rc<Self>, courier: usize, folder_lost: bool) {
        let place = &self.places[courier];
        place.ending.borrow().set(true);
        place.signalled.set(Some(Instant::now()));
        place.serving.set(false);
        if let Some(process) = &*place.process.borrow() {
            process.signal(Signal::KILL);
        }
        place.clients.set_address(None);
        self.process(courier, ProcessEvent::Ended);
        if folder_lost {
            let state = place.folder.join("state");
            let lost = std::fs::remove_dir_all(&state).and_then(|()| std::fs::create_dir_all(&state));
            if let Err(error) = lost {
                self.remark(format!("a courier's folder could not be lost: {error}"));
            }
            self.hand_again(courier);
            self.process(courier, ProcessEvent::FolderLost);
        }
    }

    /// Stops a process where it is: it holds its connections, and knows nothing of it.
    pub(super) async fn suspend(self: &Rc<Self>, courier: usize) {
        let place = &self.places[courier];
        if !place.serving.get() {
            return;
        }
        if let Some(process) = &*place.process.borrow() {
            process.signal(Signal::STOP);
        }
        place.suspended.set(true);
        self.process(courier, ProcessEvent::Suspended);
        sleep(FRONT_NOTICES).await;
        if place.suspended.get() {
            place.serving.set(false);
        }
    }

    pub(super) fn go_on(&self, courier: usize) {
        let place = &self.places[courier];
        if !place.suspended.replace(false) {
            return;
        }
        // What came meanwhile is there before it goes on, and is judged from then.
        self.process(courier, ProcessEvent::Resumed);
        if let Some(process) = &*place.process.borrow() {
            process.signal(Signal::CONT);
        }
        place.serving.set(true);
    }

    /// What a lost courier held comes again to a live one, but what must not be repeated and may have run.
    pub(super) fn hand_again(self: &Rc<Self>, courier: usize) {
        let held = self.book.borrow().lost_with(courier, &self.scenario);
        for origin in held {
            let (from, to) = HANDED_AGAIN_MS;
            let after = self.rng.borrow_mut().u64(from..to);
            self.send(origin, false, true, Duration::from_millis(after));
        }
    }

    pub(super) async fn start_again(self: &Rc<Self>, courier: usize) {
        let place = &self.places[courier];
        let ended = place.process.borrow().as_ref().map(Courier::exit_watch);
        if let Some(mut ended) = ended {
            let _ = ended.wait_for(|ended| *ended).await;
        }
        if let Some(signalled) = place.signalled.get() {
            sleep_until(signalled + RESTART).await;
        }
        if let Err(error) = self.start(courier).await {
            self.remark(format!("a courier did not start again: {error}"));
            self.process(courier, ProcessEvent::Crashed);
        }
    }

    /// Nothing can be written to a file any more, also where room was set aside: harsher than a full disk.
    pub(super) fn full(&self, courier: usize, full: bool) {
        let process = self.places[courier].process.borrow();
        let Some(process) = &*process else { return };
        if let Err(error) = process.limit_file_size(full.then_some(0)) {
            self.remark(format!("the folder of courier {courier} could not be filled: {error}"));
        }
    }

    /// Ends all couriers as a planned end would.
    pub(super) async fn end(&self) {
        for (courier, place) in self.places.iter().enumerate() {
            self.go_on(courier);
            place.ending.borrow().set(true);
            if place.process.borrow().as_ref().is_some_and(|process| !process.has_exited()) {
                self.process(courier, ProcessEvent::Terminated);
            }
            if let Some(process) = &*place.process.borrow() {
                process.signal(Signal::TERM);
            }
        }
        let until = Instant::now() + END;
        for (courier, place) in self.places.iter().enumerate() {
            let Some(process) = place.process.borrow_mut().take() else { continue };
            let left = until.saturating_duration_since(Instant::now());
            if !process.wait_for_exit(left).await {
                self.remark(format!("courier {courier} was still there 3.7 s after SIGTERM, and was killed"));
                process.signal(Signal::KILL);
                process.wait_for_exit(END).await;
            }
        }
    }
}
