//! VMs.

crate::id::text::text_id! {
    /// Name of a VM, unique in the fleet and not reused by a replacement.
    Vm
}
