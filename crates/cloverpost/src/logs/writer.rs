//! Writes log lines from a thread of its own.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

/// Lines that wait for the writer at most; at 250 bytes each a megabyte.
const WAITING: usize = 4096;
/// Pause between writes, so that many lines go out in one.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes lines and never blocks.
#[derive(Debug)]
pub struct Writer {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    /// Writes lines to `output` from now on. Without a thread they are dropped.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (lines, waiting) = sync_channel(WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let thread = thread::Builder::new().name("logs".to_owned());
        if let Err(error) = thread.spawn(move || run(output, &waiting, &counted)) {
            eprintln!("no thread for logs: {error}");
        }
        Self { lines, dropped }
    }

    /// Hands a line over, or drops it if too many wait.
    pub fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn run(mut output: impl Write, waiting: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = waiting.recv() {
        let mut text = first;
        text.push('\n');
        for line in waiting.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = serde_json::json!({"message": "log lines dropped", "lines": lost});
            text.push_str(&line.to_string());
            text.push('\n');
        }
        // Nobody is left to tell that the output is gone.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
        thread::sleep(PAUSE);
    }
}
