//! Encoding of messages.

use cloverpost_wire::{Frame, Message};

/// Encodes `payload` as in a frame.
pub fn encode(payload: &impl serde::Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(payload, bincode::config::standard())
        .expect("payload should be encodable")
}

/// Returns the length of the frame of `message`, in bytes.
pub fn frame_len(message: &Message) -> usize {
    let frame = Frame::encode(message).expect("message should fit in a frame");
    frame.as_bytes().len()
}
