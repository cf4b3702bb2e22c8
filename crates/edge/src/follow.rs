//! An entry's subscriptions to stores.

use std::{
    cell::RefCell,
    convert::Infallible,
    io,
    net::SocketAddrV4,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::TcpStream,
    runtime::spawn, //
};
use futures::future::{
    Either,
    select,
    select_ok, //
};
use rand::Rng as _;

use crate::{
    adapter::Adapter,
    backoff::Backoff,
    entry::Entry,
    evacuations::log_evacuated,
    frames::{
        Receiver,
        Sender,
        connect,
        split_frames, //
    },
    message::{
        FollowerReport,
        Hello,
        Push, //
    },
    staleness::Staleness,
    store_choice::StoreChoice,
    store_performance::PERFORMANCE_INTERVAL,
    view::{
        FOLLOWED_STORES, //
        LOAD_SLOT,
    },
};

/// Pause before the next attempt if no store is available.
const NO_STORE_PAUSE: Duration = Duration::from_millis(150);

/// Interval of load reports, unless no load has changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of keepalives to a store.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the other slots wait for the first one after a start: a few attempts to connect.
const FIRST_PUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which they check it.
const FIRST_PUSH_POLL: Duration = Duration::from_millis(20);

/// Mean pause before the store that is followed is compared with the others: long enough that the
/// entries of a deployment that has just started move one by one.
const MOVE_PAUSE: Duration = Duration::from_secs(2);

/// Time limit of a connection to a store that suits better; the present one serves meanwhile.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a task for each followed store.
pub fn start<A: Adapter>(entry: &Rc<Entry>) {
    let (name, centre) = (&entry.settings.name, &entry.settings.centre);
    let stores = Rc::new(RefCell::new(StoreChoice::new(name, centre)));
    for slot in 0..FOLLOWED_STORES {
        spawn(follow::<A>(entry.clone(), stores.clone(), slot)).detach();
    }
}

async fn follow<A: Adapter>(entry: Rc<Entry>, stores: Rc<RefCell<StoreChoice>>, slot: usize) {
    let mut backoff = Backoff::quick();
    let mut staleness = Staleness::default();
    let mut moved = None;
    if slot != LOAD_SLOT {
        wait_for_first_push(&entry).await;
    }
    loop {
        let attempt = match moved.take() {
            Some(connection) => Ok(connection),
            None => match connect_for_slot(&entry, &stores, slot, backoff).await {
                Some(attempt) => attempt,
                None => {
                    compio::time::sleep(NO_STORE_PAUSE).await;
                    continue;
                }
            },
        };
        match attempt {
            Ok((address, stream)) if stores.borrow_mut().reserve(slot, address) => {
                backoff.succeed();
                let session = Session {
                    address,
                    entry: &entry,
                    slot,
                    stores: &stores,
                };
                moved = session.run::<A>(stream, &mut staleness).await;
            }
            Ok((address, _)) => {
                log::debug!(store = address.to_string(); "the store is already followed");
            }
            Err(error) => {
                log::info!(reason = error.to_string(); "no store is reached");
            }
        }
        stores.borrow_mut().release(slot);
        entry.record_push(slot, None);
        let now = entry.clock.now();
        entry.view.borrow_mut().disconnect(now, slot, A::tag);
        if moved.is_none() {
            // A call of a store ends the pause.
            let listener = entry.call.listen();
            let _called = compio::time::timeout(backoff.fail(), listener).await;
        }
    }
}

/// Waits until the store in the first slot has sent all endpoints, so that the other one need not
/// send them again over a narrow link; not for long, since it may be down.
async fn wait_for_first_push(entry: &Entry) {
    let deadline = entry.clock.now() + FIRST_PUSH_TIMEOUT;
    while !entry.view.borrow().complete() && entry.clock.now() < deadline {
        compio::time::sleep(FIRST_PUSH_POLL).await;
    }
}

/// Connects to the store that has called, or to one of those that suit a slot best; none if there is
/// no candidate.
async fn connect_for_slot(
    entry: &Entry,
    stores: &RefCell<StoreChoice>,
    slot: usize,
    backoff: Backoff,
) -> Option<io::Result<(SocketAddrV4, TcpStream)>> {
    loop {
        let listener = entry.call.listen();
        if let Some(store) = entry.called.take() {
            match connect(store, CONNECT_TIMEOUT).await {
                Ok(stream) => return Some(Ok((store, stream))),
                Err(error) => {
                    log::debug!(store = store.to_string(), reason = error.to_string(); "a store that called is not reached");
                }
            }
        }
        let now = entry.clock.now();
        let seeds = entry.seeds.borrow().clone();
        let candidates = {
            let mut random = entry.random.borrow_mut();
            let (stores, count) = (stores.borrow(), backoff.parallelism());
            stores.candidates(now, slot, &seeds, count, &mut *random)
        };
        if candidates.is_empty() {
            return None;
        }
        let connecting = pin!(connect_any(&candidates, backoff.connect_timeout()));
        match select(connecting, listener).await {
            Either::Left((Ok(connection), _)) => return Some(Ok(connection)),
            Either::Left((Err(error), _)) => {
                let now = entry.clock.now();
                for store in &candidates {
                    stores.borrow_mut().record_failure(now, *store);
                }
                return Some(Err(error));
            }
            Either::Right(_) => {}
        }
    }
}

/// Connects to several stores at once and returns the first connection that is established.
async fn connect_any(
    stores: &[SocketAddrV4],
    timeout: Duration,
) -> io::Result<(SocketAddrV4, TcpStream)> {
    let attempts = stores.iter().map(|&address| {
        Box::pin(async move {
            let stream = connect(address, timeout).await?;
            Ok((address, stream))
        })
    });
    select_ok(attempts).await.map(|(first, _)| first)
}

/// A connection to a followed store.
struct Session<'a> {
    address: SocketAddrV4,
    entry: &'a Entry,
    slot: usize,
    stores: &'a RefCell<StoreChoice>,
}

impl Session<'_> {
    /// Follows the store until the connection fails, the store has no quorum, or a connection to a
    /// store that suits the slot better is established, which is returned.
    async fn run<A: Adapter>(
        &self,
        stream: TcpStream,
        staleness: &mut Staleness,
    ) -> Option<(SocketAddrV4, TcpStream)> {
        self.stores.borrow_mut().record_success(self.address);
        let following = pin!(self.follow_store::<A>(stream, staleness));
        let moving = pin!(self.find_better_store());
        let store = self.address.to_string();
        match select(following, moving).await {
            Either::Left((Err(error), _)) => {
                log::info!(store, reason = error.to_string(); "a store is followed no longer");
                let now = self.entry.clock.now();
                self.stores.borrow_mut().record_failure(now, self.address);
                None
            }
            Either::Right(((better, stream), _)) => {
                log::info!(store, better = better.to_string(); "another store suits this entry better");
                Some((better, stream))
            }
        }
    }

    async fn follow_store<A: Adapter>(
        &self,
        stream: TcpStream,
        staleness: &mut Staleness,
    ) -> io::Result<Infallible> {
        let (mut sender, receiver) = split_frames::<Hello, Push>(stream);
        let settings = &self.entry.settings;
        let hello = Hello::Follower {
            address: settings.advertised_address(),
            centre: settings.centre.clone(),
            digest: self.entry.view.borrow().digest().into_buckets(),
            name: settings.name.clone(),
            version: self.entry.view.borrow().version(),
        };
        sender.send(&hello).await?;
        log::info!(store = self.address.to_string(), slot = self.slot; "a store is followed");
        let receiving = pin!(self.receive_pushes::<A>(receiver, staleness));
        let sending = pin!(self.send_reports(sender.retype()));
        match select(receiving, sending).await {
            Either::Left((result, _)) | Either::Right((result, _)) => result,
        }
    }

    async fn receive_pushes<A: Adapter>(
        &self,
        mut receiver: Receiver<Push>,
        staleness: &mut Staleness,
    ) -> io::Result<Infallible> {
        let entry = self.entry;
        let unknown_changes = entry.view.borrow().unknown_changes();
        loop {
            let mut push = receiver.next().await?;
            entry.record_push(self.slot, Some(self.address));
            if !push.more && staleness.record(entry.clock.now(), push.current) {
                return Err(io::Error::other("the store has no quorum"));
            }
            if !push.stores.is_empty() {
                self.stores.borrow_mut().set_known(&push.stores);
            }
            let located = std::mem::take(&mut push.located);
            self.stores.borrow_mut().locate(located);
            let mut view = entry.view.borrow_mut();
            let evacuated = view.evacuated().revision;
            if view.apply(entry.clock.now(), self.slot, push, A::tag) {
                let (version, confirmed) = (view.version(), view.confirmed());
                log::info!(version, confirmed; "a later document is in force");
            }
            if view.evacuated().revision > evacuated {
                log_evacuated(view.evacuated());
            }
            if view.unknown_changes() > unknown_changes {
                return Err(io::Error::other("an unknown endpoint has changed"));
            }
        }
    }

    /// Reports loads to the store in slot [`LOAD_SLOT`], and sends keepalives to the others.
    async fn send_reports(&self, mut sender: Sender<FollowerReport>) -> io::Result<Infallible> {
        if self.slot != LOAD_SLOT {
            loop {
                let bytes = sender.send(&FollowerReport::default()).await?;
                self.entry.charge_link(bytes);
                compio::time::sleep(KEEPALIVE_INTERVAL).await;
            }
        }
        let mut sent_at = Duration::ZERO;
        let mut tracked = None;
        let mut performance_due = Duration::ZERO;
        loop {
            let now = self.entry.clock.now();
            let (loads, wanted) = {
                let mut view = self.entry.view.borrow_mut();
                (view.report_loads(), view.tracked())
            };
            let changed = tracked.as_ref() != Some(&wanted);
            let performance = match now >= performance_due {
                true => self.entry.view.borrow_mut().report_performance(now),
                false => Vec::new(),
            };
            if !performance.is_empty() {
                performance_due = now + PERFORMANCE_INTERVAL;
            }
            let observed = !performance.is_empty();
            if changed
                || observed
                || !loads.is_empty()
                || now.saturating_sub(sent_at) >= KEEPALIVE_INTERVAL
            {
                let report = FollowerReport {
                    loads,
                    performance,
                    tracked: changed.then(|| wanted.to_vec()),
                };
                let bytes = sender.send(&report).await?;
                self.entry.charge_link(bytes);
                (sent_at, tracked) = (now, Some(wanted));
            }
            compio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// Waits until a connection to a store that suits the slot better is established.
    async fn find_better_store(&self) -> (SocketAddrV4, TcpStream) {
        loop {
            let pause = MOVE_PAUSE.mul_f64(self.entry.random.borrow_mut().random_range(0.5..1.5));
            compio::time::sleep(pause).await;
            let now = self.entry.clock.now();
            let better = self.stores.borrow().better(now, self.slot);
            let Some(better) = better else {
                continue;
            };
            match connect(better, CONNECT_TIMEOUT).await {
                Ok(stream) => return (better, stream),
                Err(error) => {
                    log::debug!(store = better.to_string(), reason = error.to_string(); "a better store is not reached");
                    let now = self.entry.clock.now();
                    self.stores.borrow_mut().record_failure(now, better);
                }
            }
        }
    }
}
