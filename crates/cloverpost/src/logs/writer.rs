//! Writes log lines on a dedicated thread.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Maximum number of queued lines, about 1 MB at 250 bytes each.
const QUEUE_CAPACITY: usize = 4096;
/// Pause between writes, so that lines are batched.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Queues lines for the writer thread without blocking.
#[derive(Debug)]
pub struct Writer {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    /// Starts a thread that writes queued lines to `output`. If it cannot be spawned,
    /// lines are dropped.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        let thread = thread::Builder::new().name("logs".to_owned());
        if let Err(error) = thread.spawn(move || run(output, &queue, &thread_dropped)) {
            eprintln!("failed to spawn log writer thread, log lines will be dropped: {error}");
        }
        Self { lines, dropped }
    }

    /// Queues a line, or drops it if the queue is full.
    pub fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn run(mut output: impl Write, queue: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut text = first;
        text.push('\n');
        for line in queue.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = serde_json::json!({"message": "log lines dropped", "lines": lost});
            text.push_str(&line.to_string());
            text.push('\n');
        }
        // A failure of the log output cannot be reported anywhere.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        thread::sleep(BATCH_INTERVAL);
    }
}
