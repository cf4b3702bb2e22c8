//! The log: one JSON object a line on standard output, which is never waited for.

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

/// Lines that wait to be written; one more is left out and counted. Some hundred kilobytes.
const LINES: usize = 1024;

/// Starts the log; it ends when the handle is dropped.
///
/// # Errors
///
/// What the logger reported.
pub fn start() -> Result<LoggerHandle, FlexiLoggerError> {
    let (sender, receiver) = sync_channel(LINES);
    thread::Builder::new()
        .name("log".into())
        .stack_size(64 * 1024)
        .spawn(move || write(&receiver))?;
    Logger::try_with_str("info")?
        .log_to_writer(Box::new(Queue {
            omitted: AtomicU64::new(0),
            sender,
        }))
        // Its own messages would go to standard error, and end the task if that is full.
        .error_channel(ErrorChannel::DevNull)
        .start()
}

/// The lines that wait to be written.
#[derive(Debug)]
struct Queue {
    /// Lines that were left out since the last one that was taken.
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

/// Writes lines until the log ends; it is this thread that waits for the reader.
fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout().lock();
    while let Ok(mut bytes) = lines.recv() {
        bytes.extend(lines.try_iter().flatten());
        if out.write_all(&bytes).and_then(|()| out.flush()).is_err() {
            // Nobody reads any more; the queue fills up and the lines are counted.
            return;
        }
    }
}
