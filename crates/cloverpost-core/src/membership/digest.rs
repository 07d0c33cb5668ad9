//! Digest of all present members.

use sha2::{Digest as _, Sha256};

use crate::membership::Member;

/// Hash of the names and incarnations of all present members.
///
/// Suspicion is excluded because it is short-lived and disseminated separately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Digest(u64);

impl Digest {
    /// Adds `member`, or removes it if it was added before.
    pub(super) fn toggle(&mut self, member: &Member) {
        let hash = Sha256::new()
            .chain_update(member.incarnation.get().to_be_bytes())
            .chain_update(member.vm.as_str());
        self.0 ^= first_u64(hash);
    }
}

/// Hash of `text`, identical on all VMs.
pub(super) fn hash(text: &str) -> u64 {
    first_u64(Sha256::new().chain_update(text))
}

/// The first eight bytes of the hash, as an integer.
fn first_u64(hash: Sha256) -> u64 {
    let hash = hash.finalize();
    let mut bytes = [0; size_of::<u64>()];
    bytes.copy_from_slice(&hash[..size_of::<u64>()]);
    u64::from_be_bytes(bytes)
}
