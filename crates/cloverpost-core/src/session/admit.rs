//! Admission of requests that belong to a session.

use crate::catalogue;
use crate::refusal;
use crate::session::{Keys, Token, open};
use crate::time;

/// Returns the entry that serves requests with the session token `text`.
///
/// If the session's version is not available, the request is refused. Falling back to
/// another version could silently contradict earlier answers.
pub fn admit<'c>(
    keys: &Keys,
    text: &str,
    organisation: &catalogue::Organisation,
    catalogue: &'c catalogue::Catalogue,
    now: time::Timestamp,
) -> Result<&'c catalogue::Entry, refusal::Refusal> {
    let token = keys
        .open(text, &organisation.name, now)
        .map_err(token_refusal)?;
    let entry = serving_entry(&token, catalogue).ok_or_else(|| session_ended(&token))?;
    if !organisation.permits(&entry.name) {
        let message = format!("the organisation may no longer use `{}`", entry.name);
        return Err(refusal::Refusal::not_run(
            refusal::Code::NotPermitted,
            message,
        ));
    }
    Ok(entry)
}

/// The token's entry, if it still serves the token's version.
fn serving_entry<'c>(
    token: &Token,
    catalogue: &'c catalogue::Catalogue,
) -> Option<&'c catalogue::Entry> {
    let entry = catalogue.entry(&token.entry)?;
    (entry.state.takes_session() && entry.version == token.version).then_some(entry)
}

fn session_ended(token: &Token) -> refusal::Refusal {
    let message = format!(
        "version `{}` of `{}` has left service and its sessions have ended",
        token.version, token.entry
    );
    refusal::Refusal::not_run(refusal::Code::SessionEnded, message)
}

fn token_refusal(error: open::Error) -> refusal::Refusal {
    let code = match error {
        open::Error::Malformed | open::Error::Forged => refusal::Code::MalformedHeader,
        open::Error::OtherOrganisation => refusal::Code::NotPermitted,
        open::Error::Expired => refusal::Code::SessionEnded,
    };
    refusal::Refusal::not_run(code, error.to_string())
}
