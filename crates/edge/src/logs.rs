//! Logging to standard output, one JSON object a line, without blocking the other tasks.

use std::{
    io::{
        self,
        Write as _, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            TrySendError,
            sync_channel, //
        },
    },
    thread,
};

use flexi_logger::{
    DeferredNow,
    ErrorChannel,
    FlexiLoggerError,
    Logger,
    LoggerHandle,
    json_format,
    writers::LogWriter, //
};
use log::Record;

/// Limit of queued lines, some hundred kilobytes; further lines are omitted and counted.
const MAX_QUEUED_LINES: usize = 1024;

/// Starts logging, which ends when the handle is dropped.
///
/// # Errors
///
/// The error of the logger.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1024)
        .spawn(move || write(&receiver))?;
    Logger::try_with_str("info")?
        .log_to_writer(Box::new(Queue {
            omitted: AtomicU64::new(0),
            sender,
        }))
        // The logger's own messages would go to standard error, and end the task if that is full.
        .error_channel(ErrorChannel::DevNull)
        .start()
}

/// The queue of lines to write.
#[derive(Debug)]
struct Queue {
    /// Lines omitted since the last queued one.
    omitted: AtomicU64,
    sender: SyncSender<Vec<u8>>,
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        let omitted = self.omitted.swap(0, Ordering::Relaxed);
        if omitted > 0 {
            writeln!(
                line,
                r#"{{"level":"WARN","omitted":{omitted},"text":"lines were left out"}}"#
            )?;
        }
        json_format(&mut line, now, record)?;
        line.push(b'\n');
        match self.sender.try_send(line) {
            Ok(()) => Ok(()),
            Err(TrySendError::Disconnected(_) | TrySendError::Full(_)) => {
                self.omitted.fetch_add(omitted + 1, Ordering::Relaxed);
                Ok(())
            }
        }
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until logging ends; only this thread blocks on standard output.
fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(mut bytes) = lines.recv() {
        bytes.extend(lines.try_iter().flatten());
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // Standard output cannot be written: the queue is disconnected, and further lines are
            // counted.
            return;
        }
    }
}
