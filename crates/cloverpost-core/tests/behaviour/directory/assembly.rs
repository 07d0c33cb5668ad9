//! Encoded tables that are assembled from pieces and from earlier encodings.

use cloverpost_core::directory::{Assembly, Outline, Version, outline};
use proptest::prelude::*;

fn outline_of(bytes: &[u8]) -> Outline {
    Outline {
        version: Version::new(1),
        snapshot_version: Version::new(1),
        digest: 0,
        chunks: outline::chunks(bytes).map(|(chunk, _)| chunk).collect(),
    }
}

fn text(rows: impl Iterator<Item = u64>) -> Vec<u8> {
    let rows = rows.map(|row| format!("row {row}: {}", row.wrapping_mul(0x9E37_79B9_7F4A_7C15)));
    rows.collect::<Vec<_>>().join("\n").into_bytes()
}

#[test]
fn a_table_is_complete_without_pieces_if_all_chunks_are_known() {
    let bytes = text(0..900);
    let assembly = Assembly::from_sources(
        &outline_of(&bytes),
        bytes.len(),
        std::iter::once(&bytes[..]),
    );
    assert_eq!(assembly.next_missing(), None);
    assert_eq!(assembly.into_bytes(), bytes);
}

#[test]
fn a_row_in_the_middle_leaves_most_chunks_as_they_were() {
    let before = text(0..900);
    let after = text((0..400).chain(5_000..5_001).chain(400..900));
    let assembly = Assembly::from_sources(
        &outline_of(&after),
        after.len(),
        std::iter::once(&before[..]),
    );
    let missing = assembly.missing_bytes();
    assert!(0 < missing && missing < 9_000, "{missing} bytes");
}

#[test]
fn a_piece_beyond_the_end_is_ignored() {
    let mut assembly = Assembly::new(4);
    assert!(!assembly.insert(2, b"abc"));
    assert!(!assembly.insert(usize::MAX, b"abc"));
    assert!(assembly.insert(1, b"abc"));
    assert_eq!(assembly.next_missing(), Some(0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    // Pieces in any order, also twice, complete a table of which any part was known.
    #[test]
    fn pieces_in_any_order_complete_a_table(
        rows in 1_u64..400,
        kept in 0_u64..400,
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let (before, after) = (text(0..kept), text(0..rows));
        let mut assembly =
            Assembly::from_sources(&outline_of(&after), after.len(), std::iter::once(&before[..]));
        let pieces: Vec<_> = after.chunks(300).enumerate().collect();
        for index in order {
            let (number, piece) = index.get(&pieces);
            let missing = assembly.missing_bytes();
            let is_new = assembly.insert(number * 300, piece);
            prop_assert_eq!(is_new, assembly.missing_bytes() < missing);
        }
        while let Some(offset) = assembly.next_missing() {
            prop_assert!(assembly.insert(offset / 300 * 300, pieces[offset / 300].1));
        }
        prop_assert_eq!(assembly.into_bytes(), after);
    }
}
