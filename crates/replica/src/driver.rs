//! Drives a store's state machine: handles events, writes records to disk, then sends messages and
//! answers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use codes::Code;
use compio::runtime::ResumeUnwind as _;
use store::{
    Action,
    DataFolder,
    Error,
    Event,
    Message,
    Record,
    Saved, //
};

use crate::replica::Replica;

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A write to the data folder.
#[derive(Debug)]
enum Write {
    Append(Vec<Record>),
    Replace(Box<Saved>),
}

/// Interface of the driver to its process.
pub trait Environment {
    /// Called after events were handled and before the resulting actions are carried out.
    fn on_handled(&self);

    /// Time since the process started.
    fn now(&self) -> Duration;

    /// The replica to drive.
    fn replica(&self) -> &RefCell<Replica>;

    /// Sends a message to the store at an inner address, without guarantee of delivery.
    fn send(&self, to: SocketAddr, message: &Message);
}

/// Drives the replica until the process ends.
pub async fn run<S: Environment>(env: &S, mut folder: DataFolder) {
    let replica = env.replica();
    loop {
        wait(env).await;
        let actions = replica.borrow_mut().handle(env.now());
        let last = replica.borrow().raft().log().last();
        env.on_handled();
        let (writes, others) = split(actions);
        let written = !writes.is_empty();
        for write in writes {
            folder = match persist(replica, folder, write).await {
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
                        env.send(address, &message);
                    }
                }
                Action::Persist(_) | Action::Replace(_) => {}
            }
        }
    }
}

/// Separates the writes from the answers and messages, which may be sent only after them.
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

/// Writes and syncs on a separate thread, and retries until this succeeds. Until then, the store
/// sends no messages and no answers. None if the runtime ends.
async fn persist(
    replica: &RefCell<Replica>,
    mut folder: DataFolder,
    mut write: Write,
) -> Option<DataFolder> {
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
                compio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn report(error: &Error) {
    log::error!(code = error.code().number(); "{error}");
}

/// Waits until an event is queued or a tick is due.
async fn wait<S: Environment>(env: &S) {
    let replica = env.replica();
    let wake = replica.borrow().wake();
    loop {
        let listener = wake.listen();
        let due = replica.borrow().raft().next_tick();
        let now = env.now();
        if due <= now || replica.borrow().has_events() {
            return;
        }
        let _notified = compio::time::timeout(due.saturating_sub(now), listener).await;
    }
}
