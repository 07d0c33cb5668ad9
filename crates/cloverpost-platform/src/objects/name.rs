//! Object names.

use crate::fault;

/// Maximum name length in bytes, as in S3.
const MAX_BYTES: usize = 1024;

/// Returns an error for a name that is empty, too long or needs escaping.
pub fn validate_name(name: &str) -> Result<(), fault::Fault> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
    if (1..=MAX_BYTES).contains(&name.len()) && name.chars().all(allowed) {
        return Ok(());
    }
    let reason = format!(
        "`{}` is no object name: want 1 to {MAX_BYTES} characters of a-z A-Z 0-9 . _ - /",
        name.escape_debug()
    );
    Err(fault::Fault::without_effect(reason))
}
