//! Runs a store's state machine: events in, records to the disk, then messages and answers out.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use codes::Code;
use compio::runtime::ResumeUnwind as _;
use store::{
    Action,
    Error,
    Event,
    Folder,
    Message,
    Record,
    Saved, //
};

use crate::replica::Replica;

/// Pause before a failed write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// One write of the disk.
#[derive(Debug)]
enum Write {
    Append(Vec<Record>),
    Replace(Box<Saved>),
}

/// What a store's driver needs of the process that it runs in.
pub trait Surroundings {
    /// Called after events were handled and before anything that follows from them leaves.
    fn handled(&self);

    /// Time since the process started.
    fn now(&self) -> Duration;

    /// The replica that is driven.
    fn replica(&self) -> &RefCell<Replica>;

    /// Sends a message to the store at an inner address; it may be lost.
    fn send(&self, to: SocketAddr, message: &Message);
}

/// Runs the store until the process ends.
pub async fn run<S: Surroundings>(around: &S, mut folder: Folder) {
    let replica = around.replica();
    loop {
        wait(around).await;
        let actions = replica.borrow_mut().handle(around.now());
        let last = replica.borrow().raft().log().last();
        around.handled();
        let (writes, others) = split(actions);
        let written = !writes.is_empty();
        for write in writes {
            folder = match keep(replica, folder, write).await {
                Some(folder) => folder,
                None => return,
            };
        }
        if written {
            replica.borrow_mut().push(Event::Synced(last));
        }
        for action in others {
            match action {
                Action::Answer(token, answer) => replica.borrow_mut().answer(token, answer),
                Action::Send(message) => {
                    let address = replica.borrow().address(message.to);
                    if let Some(address) = address {
                        around.send(address, &message);
                    }
                }
                Action::Persist(_) | Action::Replace(_) => {}
            }
        }
    }
}

/// Parts the writes, which come first, from what may leave only after them.
fn split(actions: Vec<Action>) -> (Vec<Write>, Vec<Action>) {
    let mut writes = Vec::new();
    let mut others = Vec::new();
    for action in actions {
        match (action, writes.last_mut()) {
            (Action::Persist(record), Some(Write::Append(records))) => records.push(record),
            (Action::Persist(record), _) => writes.push(Write::Append(vec![record])),
            (Action::Replace(saved), _) => writes.push(Write::Replace(saved)),
            (other, _) => others.push(other),
        }
    }
    (writes, others)
}

/// Writes and syncs on a thread of its own, again and again until it succeeds. Until then nothing
/// of this store leaves the process. None if the runtime ends.
async fn keep(replica: &RefCell<Replica>, mut folder: Folder, mut write: Write) -> Option<Folder> {
    loop {
        let task = compio::runtime::spawn_blocking(move || {
            let result = match &write {
                Write::Append(records) => folder.append(records),
                Write::Replace(saved) => folder.replace(saved),
            };
            (folder, write, result)
        });
        let result;
        (folder, write, result) = task.await.resume_unwind()?;
        match result {
            Ok(()) => {
                replica.borrow_mut().unblock();
                return Some(folder);
            }
            Err(error) => {
                report(&error);
                let code = match error.code() {
                    Code::StorageFull => Code::StorageFull,
                    _ => Code::NoLeader,
                };
                replica.borrow_mut().block(code);
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn report(error: &Error) {
    log::error!(code = error.code().number(); "{error}");
}

/// Waits until an event is queued or a tick is due.
async fn wait<S: Surroundings>(around: &S) {
    let replica = around.replica();
    let wake = replica.borrow().wake();
    loop {
        let listener = wake.listen();
        let due = replica.borrow().raft().due();
        let now = around.now();
        if due <= now || replica.borrow().waits() {
            return;
        }
        let _notified = compio::time::timeout(due.saturating_sub(now), listener).await;
    }
}
