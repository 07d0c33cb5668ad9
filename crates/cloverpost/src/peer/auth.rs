//! HMAC tags of the handshake and of the frames on an authenticated link.

use cloverpost_wire::{self as wire, hello};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::peer::{Key, Keys};

/// Length of the tag on a frame, in bytes.
pub const FRAME_TAG_LEN: usize = 16;
/// Length of a session key, in bytes.
const SESSION_KEY_LEN: usize = 32;

/// Label of the tag that authenticates the accepting VM.
const ACCEPT_LABEL: &[u8] = b"cloverpost peer accept";
/// Label of the tag that authenticates the connecting VM.
const CONNECT_LABEL: &[u8] = b"cloverpost peer connect";
/// Label for deriving the session key.
const SESSION_LABEL: &[u8] = b"cloverpost peer session";

/// Direction of a frame on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting VM.
    Request,
    /// From the accepting VM.
    Response,
}

/// The encoded handshake messages that the tags cover.
#[derive(Clone, Debug)]
pub struct Transcript(Vec<u8>);

impl Transcript {
    /// The transcript of a hello and its challenge, without the challenge's tags.
    pub fn new(hello: &hello::Hello, challenge: &hello::Challenge) -> Result<Self, wire::Error> {
        let messages = [
            hello::Message::Hello(hello.clone()),
            hello::Message::Challenge(hello::Challenge {
                tags: Vec::new(),
                ..challenge.clone()
            }),
        ];
        let mut bytes = Vec::new();
        for message in messages {
            // Frames are length-prefixed, so the concatenation is unambiguous.
            let frame = wire::Frame::encode(&wire::Message::Hello(message))?;
            bytes.extend_from_slice(frame.as_bytes());
        }
        Ok(Self(bytes))
    }

    /// Tags of the accepting VM, one per key.
    pub fn accept_tags(&self, keys: &Keys) -> Vec<hello::Tag> {
        keys.iter().map(|key| self.tag(key, ACCEPT_LABEL)).collect()
    }

    /// The first local key for which one of the accepting VM's `tags` is valid.
    pub fn shared_key<'k>(&self, keys: &'k Keys, tags: &[hello::Tag]) -> Option<&'k Key> {
        keys.iter().find(|key| {
            let expected = mac(key.as_bytes(), &[ACCEPT_LABEL, &self.0]);
            tags.iter()
                .any(|tag| expected.clone().verify_slice(tag).is_ok())
        })
    }

    /// Tag of the connecting VM.
    pub fn connect_tag(&self, key: &Key) -> hello::Tag {
        self.tag(key, CONNECT_LABEL)
    }

    /// The first local key for which the connecting VM's `tag` is valid.
    pub fn proven_key<'k>(&self, keys: &'k Keys, tag: &hello::Tag) -> Option<&'k Key> {
        keys.iter().find(|key| {
            let expected = mac(key.as_bytes(), &[CONNECT_LABEL, &self.0]);
            expected.verify_slice(tag).is_ok()
        })
    }

    /// Derives the session from `key` and the transcript.
    pub fn session(&self, key: &Key) -> Session {
        Session(self.tag(key, SESSION_LABEL))
    }

    /// HMAC of the transcript under `key`, with a label for domain separation.
    fn tag(&self, key: &Key, label: &[u8]) -> hello::Tag {
        mac(key.as_bytes(), &[label, &self.0])
            .finalize()
            .into_bytes()
            .into()
    }
}

/// Creates and verifies the frame tags of one link.
#[derive(Clone)]
pub struct Session([u8; SESSION_KEY_LEN]);

impl Session {
    /// Tag of `frame` on the h2 stream `stream`.
    pub fn tag(&self, direction: Direction, stream: u32, frame: &[u8]) -> [u8; FRAME_TAG_LEN] {
        let digest: [u8; SESSION_KEY_LEN] = self
            .frame_mac(direction, stream, frame)
            .finalize()
            .into_bytes()
            .into();
        let mut tag = [0; FRAME_TAG_LEN];
        tag.copy_from_slice(&digest[..FRAME_TAG_LEN]);
        tag
    }

    /// The frame in `tagged` without its tag; `None` if the tag is invalid.
    pub fn verify<'b>(
        &self,
        direction: Direction,
        stream: u32,
        tagged: &'b [u8],
    ) -> Option<&'b [u8]> {
        let frame_len = tagged.len().checked_sub(FRAME_TAG_LEN)?;
        let (frame, tag) = tagged.split_at(frame_len);
        self.frame_mac(direction, stream, frame)
            .verify_truncated_left(tag)
            .is_ok()
            .then_some(frame)
    }

    /// HMAC over the direction, the stream id and the frame.
    fn frame_mac(&self, direction: Direction, stream: u32, frame: &[u8]) -> Hmac<Sha256> {
        let direction = match direction {
            Direction::Request => b"ask",
            Direction::Response => b"ans",
        };
        mac(&self.0, &[direction, &stream.to_be_bytes(), frame])
    }
}

/// HMAC-SHA-256 over `parts`.
fn mac(key: &[u8], parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    for part in parts {
        mac.update(part);
    }
    mac
}
