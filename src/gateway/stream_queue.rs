//! Data of a stream on its way to a caller.
//!
//! The memory of the request covers what usually waits. What a slow caller leaves waiting
//! beyond that is charged to the host's account, and the stream is not read further while
//! there is no room.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Channel;
use http_body_util::channel::Sender;
use hyper::body::Frame;
use tokio_util::sync::CancellationToken;

use crate::core::resource_account::Purpose;
use crate::edge::body::{QueuedBytes, StreamedBody, Truncated};
use crate::edge::resources::{Hold, NoRoom, Resources};
use crate::edge::response_reader::COVERED_BYTES;

/// Parts that wait for the caller.
const MAX_QUEUED_PARTS: usize = 8;
/// Largest part that is copied, as it would keep the whole buffer that it was read into.
const MAX_COPIED_BYTES: usize = 2 * 1024;
/// Time between two looks whether there is room.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Disconnected;

/// Sending end of a stream to a caller.
#[derive(Debug)]
pub struct StreamQueue {
    sender: Sender<Bytes, Truncated>,
    queued: Rc<QueuedBytes>,
    disconnected: CancellationToken,
    hold: Hold,
    partial_bytes: usize,
}

impl StreamQueue {
    /// Queue and the body that the caller receives; `disconnected` is cancelled when the
    /// body is dropped.
    pub fn open(resources: &Resources, disconnected: CancellationToken) -> (Self, StreamedBody) {
        let (sender, channel) = Channel::new(MAX_QUEUED_PARTS);
        let queued = Rc::new(QueuedBytes::default());
        let queue = Self {
            sender,
            queued: Rc::clone(&queued),
            disconnected: disconnected.clone(),
            hold: resources.empty_hold(Purpose::Response),
            partial_bytes: 0,
        };
        let body = StreamedBody::new(channel, disconnected).with_queue(queued);
        (queue, body)
    }

    /// Takes memory for a part that is not complete.
    pub fn hold_partial(&mut self, bytes: usize) -> Result<(), NoRoom> {
        self.partial_bytes = bytes;
        self.resize(0)
    }

    /// Sends a part once there is room for it.
    pub async fn send(&mut self, data: Bytes) -> Result<(), Disconnected> {
        let data = if data.len() <= MAX_COPIED_BYTES {
            Bytes::copy_from_slice(&data)
        } else {
            data
        };
        // A single part waits within what the memory of the request covers.
        while self.queued.get() > 0 && self.resize(data.len()).is_err() {
            if self.disconnected.is_cancelled() {
                return Err(Disconnected);
            }
            compio::time::sleep(ROOM_POLL_INTERVAL).await;
        }
        self.queued.add(data.len());
        let sent = self.sender.send(Frame::data(data)).await;
        sent.map_err(|_| Disconnected)
    }

    /// Ends the stream so that the caller can detect that it is not complete.
    pub fn abort(self) {
        self.sender.abort(Truncated);
    }

    fn resize(&mut self, more_bytes: usize) -> Result<(), NoRoom> {
        let waiting_bytes = self.queued.get() + self.partial_bytes + more_bytes;
        let beyond_covered = waiting_bytes.saturating_sub(COVERED_BYTES);
        self.hold.shrink_to(beyond_covered);
        self.hold.grow_to(beyond_covered)
    }
}
