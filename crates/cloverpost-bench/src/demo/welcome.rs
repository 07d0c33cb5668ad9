//! The startup message of the demo.

use std::fmt::Write;

use crate::site::{OPERATOR_KEY, Site, catalogue};

impl Site {
    /// Returns the URLs of the VMs and example commands.
    #[must_use]
    pub fn welcome(&self) -> String {
        let mut text = String::new();
        for vm in &self.vms {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "callers http://{}  operators http://{}",
                vm.caller_addr(),
                vm.operator_addr()
            );
        }
        if let Some(vm) = self.vms.first() {
            let _ = write!(
                text,
                "\ncurl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' \
                 -d '{{\"model\": \"{}\", \"stream\": true, \"messages\": \
                 [{{\"role\": \"user\", \"content\": \"hello\"}}]}}'\n\n\
                 cloverpost catalogue show --url http://{} --key {OPERATOR_KEY}\n\n\
                 Ctrl-C stops gracefully.",
                vm.caller_addr(),
                catalogue::HARROWGATE_KEY,
                catalogue::CLASS,
                vm.operator_addr(),
            );
        }
        text
    }
}
