//! Application of faults.

use std::future;

use tokio::time;

use crate::host::{ConnectionHandle, Controls};
use crate::script::{Fault, Point};

impl Fault {
    /// Triggers the fault if it is set for `point`. Returns `false` if the response ends there.
    ///
    /// Does not return if the fault closes or stalls the connection. The request is then dropped
    /// when its connection closes.
    pub async fn trigger(
        &self,
        point: Point,
        connection: &ConnectionHandle,
        controls: &Controls,
    ) -> bool {
        if self.point() != Some(point) {
            return true;
        }
        match self {
            Self::CloseConnection { .. } => connection.close(),
            Self::Crash { downtime, .. } => controls.crash(*downtime),
            Self::EndEarly { .. } => return false,
            Self::Delay { duration, .. } => {
                time::sleep(*duration).await;
                return true;
            }
            _ => {}
        }
        future::pending().await
    }
}
