//! Chunked responses with scripted faults.

use std::time::Duration;

use bytes::Bytes;
use tokio::time;

use crate::host::{Body, BodySender, ConnectionHandle, Controls};
use crate::journal::RunGuard;
use crate::script::{Fault, Point};

/// A chunk that is neither valid JSON nor a valid event.
const MALFORMED_CHUNK: &[u8] = b"data: {\"choices\": [{\"delta\": \xff\xfe\n\n";

/// A response that is sent in chunks.
#[derive(Debug)]
pub struct ChunkedResponse {
    /// Chunks before the last.
    pub chunks: Vec<Bytes>,
    /// Last chunk, without which the response is truncated.
    pub last_chunk: Bytes,
    /// Delay before the first chunk.
    pub first_delay: Duration,
    /// Delay between chunks.
    pub chunk_delay: Duration,
    /// Fault to apply.
    pub fault: Option<Fault>,
    /// Run to close when the response ends, if any.
    pub run: Option<RunGuard>,
    /// Connection of the request.
    pub connection: ConnectionHandle,
    /// Controls of the stand-in.
    pub controls: Controls,
}

impl ChunkedResponse {
    /// Splits a body into two halves and its last byte.
    #[must_use]
    pub fn split(body: &Bytes) -> (Vec<Bytes>, Bytes) {
        let last = body.len().saturating_sub(1);
        let half = last / 2;
        let halves = vec![body.slice(..half), body.slice(half..last)];
        (halves, body.slice(last..))
    }

    /// Spawns a task that sends the body. Calls `on_chunk` after each chunk but the last and drops
    /// `guard` when the task ends.
    pub fn start<G>(self, guard: G, on_chunk: impl Fn() + Send + Sync + 'static) -> Body
    where
        G: Send + 'static,
    {
        let (mut sender, body) = Body::chunked();
        tokio::spawn(async move {
            let _guard = guard;
            let disconnected = sender.closed();
            tokio::select! {
                () = self.send(&mut sender, &on_chunk) => {}
                () = disconnected => {}
            }
        });
        body
    }

    async fn send(mut self, sender: &mut BodySender, on_chunk: &(impl Fn() + Sync)) {
        if !self
            .flush_and_apply_fault(Point::AfterHeaders, sender)
            .await
        {
            return;
        }
        let repetitions = if self.fault == Some(Fault::DuplicateResponse) {
            2
        } else {
            1
        };
        for _ in 0..repetitions {
            if !self.send_chunks(sender, on_chunk).await {
                return;
            }
        }
        if let Some(run) = self.run.as_mut() {
            run.finish();
        }
    }

    /// Sends all chunks. Returns `false` if a fault ended the response.
    async fn send_chunks(
        &mut self,
        sender: &mut BodySender,
        on_chunk: &(impl Fn() + Sync),
    ) -> bool {
        for index in 0..self.chunks.len() {
            if !self.apply_fault_after(index, sender).await {
                return false;
            }
            time::sleep(if index == 0 {
                self.first_delay
            } else {
                self.chunk_delay
            })
            .await;
            for chunk in self.faulty_chunk(index) {
                sender.send(chunk).await;
            }
            on_chunk();
        }
        if !self.apply_fault_after(self.chunks.len(), sender).await
            || !self.flush_and_apply_fault(Point::BeforeEnd, sender).await
        {
            return false;
        }
        sender.send(self.last_chunk.clone()).await;
        true
    }

    /// Returns the chunks to send for chunk `index`, of which the middle one may be faulty.
    fn faulty_chunk(&self, index: usize) -> Vec<Bytes> {
        let is_middle = index == self.chunks.len() / 2;
        let chunk = self.chunks[index].clone();
        match &self.fault {
            Some(Fault::MalformedChunk) if is_middle => vec![Bytes::from_static(MALFORMED_CHUNK)],
            Some(Fault::DuplicateChunk) if is_middle => vec![chunk.clone(), chunk],
            _ => vec![chunk],
        }
    }

    /// Applies a fault that is set for the point after `count` chunks.
    async fn apply_fault_after(&mut self, count: usize, sender: &mut BodySender) -> bool {
        let last = count + 1 == self.chunks.len();
        match self.fault.as_ref().and_then(Fault::point) {
            Some(Point::AfterChunks(target)) if target == count || last && target > count => {
                self.flush_and_apply_fault(Point::AfterChunks(target), sender)
                    .await
            }
            _ => true,
        }
    }

    /// Applies a fault that is set for `point`, after the connection has consumed all earlier
    /// chunks.
    async fn flush_and_apply_fault(&mut self, point: Point, sender: &mut BodySender) -> bool {
        if self.fault.as_ref().and_then(Fault::point) == Some(point) {
            sender.flush().await;
        }
        self.apply_fault_at(point).await
    }

    /// Applies a fault that is set for `point`. Returns `false` if it ends the response.
    pub async fn apply_fault_at(&mut self, point: Point) -> bool {
        let Some(fault) = self.fault.clone() else {
            return true;
        };
        let ends_here = fault.ends_response() && fault.point() == Some(point);
        if let Some(run) = self.run.as_mut().filter(|_| ends_here) {
            run.fail();
        }
        fault.trigger(point, &self.connection, &self.controls).await
    }
}
