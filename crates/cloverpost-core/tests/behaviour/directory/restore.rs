//! Copies of tables of a store that comes back from a copy of itself.

use std::collections::{BTreeMap, BTreeSet};

use cloverpost_core::directory::{
    Change, Era, Evacuation, Image, Order, Page, Progress, Rows, State, Upstream, Version,
};
use proptest::prelude::*;

use super::{configuration, order, progress, upstream};

fn version(era: u64, counter: u64) -> Version {
    Version::new(counter).in_era(Era::new(era))
}

fn change<T>(key: &str, at: Version, value: Option<T>) -> Change<T> {
    Change {
        key: key.to_owned(),
        version: at,
        value,
    }
}

fn page(rows: Rows, version: Version) -> Page {
    Page {
        rows,
        version,
        now_ms: 0,
        unreadable: Vec::new(),
    }
}

fn upstreams(rows: Vec<Change<Upstream>>, version: Version) -> Page {
    page(Rows::Upstreams(rows), version)
}

fn states(rows: Vec<Change<Progress>>, version: Version) -> Page {
    page(Rows::Progress(rows), version)
}

fn orders(rows: Vec<Change<Order>>, version: Version) -> Page {
    operators(0, rows, Vec::new(), version)
}

fn evacuations(rows: Vec<Change<Evacuation>>, version: Version) -> Page {
    operators(0, Vec::new(), rows, version)
}

/// A page of the operators' tables; without a configuration if `number` is 0.
fn operators(
    number: u64,
    orders: Vec<Change<Order>>,
    evacuations: Vec<Change<Evacuation>>,
    version: Version,
) -> Page {
    let configuration =
        (number > 0).then(|| change("config", version, Some(configuration(number))));
    let rows = Rows::Operators {
        configuration: configuration.into_iter().collect(),
        orders,
        evacuations,
    };
    page(rows, version)
}

fn evacuation(zone: &str) -> Evacuation {
    Evacuation {
        zone: zone.parse().unwrap(),
    }
}

fn leaving(id: &str) -> Upstream {
    Upstream {
        is_leaving: true,
        ..upstream(id, "v1")
    }
}

#[test]
fn a_version_of_a_later_era_is_newer() {
    assert!(version(2, 1) > version(1, 900));
    assert!(version(2, 2) > version(2, 1));
    assert_eq!("2.57".parse::<Version>().unwrap(), version(2, 57));
    assert_eq!(version(2, 57).to_string(), "2.57");
}

#[test]
fn a_feed_of_a_later_era_changes_nothing_before_a_full_read() {
    // Guards against copies that lack what was written between the store's copy and the feed.
    let mut image = Image::default();
    image.replace(upstreams(vec![], version(1, 50)));
    let late = change("i-1", version(2, 60), Some(upstream("i-1", "v1")));
    assert!(!image.apply(upstreams(vec![late], version(2, 60))));
    assert_eq!(image.upstreams.version, version(1, 50));
}

#[test]
fn a_page_of_an_earlier_era_changes_nothing() {
    let mut image = Image::default();
    image.replace(upstreams(vec![], version(2, 5)));
    let late = change("i-1", version(1, 60), Some(upstream("i-1", "v1")));
    assert!(!image.replace(upstreams(vec![late.clone()], version(1, 60))));
    assert!(!image.apply(upstreams(vec![late], version(1, 60))));
    assert!(image.upstreams.rows.is_empty());
}

#[test]
fn a_peer_gets_a_whole_table_of_a_later_era() {
    let row = |at| change("i-1", at, Some(upstream("i-1", "v1")));
    let mut image = Image::default();
    image.replace(upstreams(vec![row(version(1, 4))], version(1, 50)));
    let mut peer = image.clone();
    image.replace(upstreams(vec![row(version(2, 4))], version(2, 9)));
    assert!(peer.versions().is_older_than(&image.changes()));
    peer.update(image.since(&peer.versions()));
    assert_eq!(peer.upstreams.version, version(2, 9));
}

#[test]
fn an_upstream_that_left_is_not_used_when_it_registers_again_after_a_return() {
    let mut image = Image::default();
    let row = change("i-1", version(1, 9), Some(leaving("i-1")));
    image.replace(upstreams(vec![row], version(1, 9)));
    image.replace(upstreams(vec![], version(2, 5)));
    let written = change("i-1", version(2, 6), Some(upstream("i-1", "v1")));
    image.apply(upstreams(vec![written], version(2, 6)));
    assert!(image.upstreams.rows["i-1"].value.is_leaving);
}

#[test]
fn a_leaving_that_is_revoked_in_the_same_era_has_ended() {
    let mut image = Image::default();
    let row = change("i-1", version(2, 9), Some(leaving("i-1")));
    image.replace(upstreams(vec![row], version(2, 9)));
    let written = change("i-1", version(2, 10), Some(upstream("i-1", "v1")));
    image.apply(upstreams(vec![written], version(2, 10)));
    assert!(!image.upstreams.rows["i-1"].value.is_leaving);
}

#[test]
fn a_leaving_is_kept_for_the_process() {
    let mut image = Image::default();
    let row = change("i-1", version(1, 9), Some(leaving("i-1")));
    image.replace(upstreams(vec![row], version(1, 9)));
    let copy = change("i-1", version(2, 4), Some(upstream("i-1", "v1")));
    image.replace(upstreams(vec![copy], version(2, 5)));
    assert!(image.upstreams.rows["i-1"].value.is_leaving);
    let written = change("i-1", version(2, 6), Some(upstream("i-1", "v1")));
    image.apply(upstreams(vec![written], version(2, 6)));
    assert!(image.upstreams.rows["i-1"].value.is_leaving);
    let restarted = Upstream {
        born_ms: Some(7),
        ..upstream("i-1", "v1")
    };
    let restarted = change("i-1", version(2, 7), Some(restarted));
    image.apply(upstreams(vec![restarted], version(2, 7)));
    assert!(!image.upstreams.rows["i-1"].value.is_leaving);
}

/// An image with the evacuation of `a` written at 9 and that of `b` lifted at 10, after a copy of
/// the store was made at 5.
fn image_with_lost_changes() -> Image {
    let mut image = Image::default();
    let row = change("b", version(1, 3), Some(evacuation("b")));
    image.replace(evacuations(vec![row], version(1, 5)));
    let row = change("a", version(1, 9), Some(evacuation("a")));
    image.apply(evacuations(vec![row], version(1, 9)));
    image.apply(evacuations(
        vec![change("b", version(1, 10), None)],
        version(1, 10),
    ));
    image
}

/// The store's copy as a full read of the next era returns it.
fn restored() -> Page {
    let row = change("b", version(2, 3), Some(evacuation("b")));
    evacuations(vec![row], version(2, 5))
}

fn zones(image: &Image) -> Vec<&str> {
    image.evacuations.rows.keys().map(String::as_str).collect()
}

#[test]
fn what_the_copy_of_the_store_lacks_is_kept_until_it_is_written_again() {
    let mut image = image_with_lost_changes();
    image.replace(restored());
    assert_eq!(zones(&image), ["a"]);
    let row = change("a", version(2, 6), Some(evacuation("a")));
    image.apply(evacuations(vec![row], version(2, 6)));
    image.apply(evacuations(
        vec![change("a", version(2, 7), None)],
        version(2, 7),
    ));
    assert!(zones(&image).is_empty());
}

#[test]
fn another_full_read_of_the_era_does_not_end_what_is_kept() {
    let mut image = image_with_lost_changes();
    image.replace(restored());
    image.replace(Page {
        version: version(2, 8),
        ..restored()
    });
    assert_eq!(zones(&image), ["a"]);
}

#[test]
fn what_is_not_written_again_ends_when_it_is_released() {
    let mut image = image_with_lost_changes();
    image.replace(restored());
    let released = image.release_overruled();
    let a = ("evacuations", "a".to_owned());
    assert_eq!(released, [a, ("evacuations", "b".to_owned())]);
    assert_eq!(zones(&image), ["b"]);
}

#[test]
fn a_peer_without_the_lost_changes_keeps_them_too() {
    let mut image = image_with_lost_changes();
    image.replace(restored());
    let mut starting = Image::default();
    starting.update(image.since(&starting.versions()));
    assert_eq!(zones(&starting), ["a"]);
    starting.release_overruled();
    assert_eq!(zones(&starting), ["b"]);
}

#[test]
fn what_is_kept_outlives_a_further_return() {
    let mut image = image_with_lost_changes();
    image.replace(restored());
    let row = change("b", version(3, 3), Some(evacuation("b")));
    image.replace(evacuations(vec![row], version(3, 4)));
    assert_eq!(zones(&image), ["a"]);
}

#[test]
fn a_row_written_after_the_return_is_taken() {
    let mut image = image_with_lost_changes();
    let row = change("c", version(2, 6), Some(evacuation("c")));
    let Rows::Operators {
        mut evacuations, ..
    } = restored().rows
    else {
        unreachable!()
    };
    evacuations.push(row);
    image.replace(operators(0, Vec::new(), evacuations, version(2, 6)));
    assert_eq!(zones(&image), ["a", "c"]);
}

/// An image in which the rollout ordered at 7 was completed at 9.
fn image_with_completed_rollout() -> Image {
    let mut image = Image::default();
    let row = change("app", version(1, 7), Some(order("v2")));
    image.replace(orders(vec![row], version(1, 7)));
    let row = change(
        "app",
        version(1, 9),
        Some(state_of(State::Completed, version(1, 7))),
    );
    image.replace(states(vec![row], version(1, 9)));
    image
}

fn state_of(state: State, order: Version) -> Progress {
    Progress {
        order,
        rollout: order,
        ..progress("v2", state, 0)
    }
}

fn current(image: &Image) -> &Progress {
    &image.progress.rows["app"].value
}

#[test]
fn a_rollout_keeps_its_identity_when_its_order_is_written_again() {
    let mut image = image_with_completed_rollout();
    image.replace(orders(vec![], version(2, 5)));
    image.replace(states(vec![], version(2, 5)));
    assert!(current(&image).belongs_to(&order("v2"), version(1, 7)));
    let row = change("app", version(2, 6), Some(order("v2")));
    image.apply(orders(vec![row], version(2, 6)));
    assert!(current(&image).belongs_to(&order("v2"), version(2, 6)));
    assert_eq!(current(&image).rollout, version(1, 7));
    assert_eq!(current(&image).state, State::Completed);
    assert!(image.progress.overruled.contains_key("app"));
}

#[test]
fn an_order_repeated_after_it_was_written_again_is_a_new_rollout() {
    let mut image = image_with_completed_rollout();
    image.replace(orders(vec![], version(2, 5)));
    for counter in [6, 7] {
        let row = change("app", version(2, counter), Some(order("v2")));
        image.apply(orders(vec![row], version(2, counter)));
    }
    assert!(!current(&image).belongs_to(&order("v2"), version(2, 7)));
}

#[rstest::rstest]
#[case::of_the_copy(7, 8)]
#[case::begun_again_by_another_vm(7, 20)]
fn a_completed_rollout_outlasts_a_state_in_progress(#[case] order_at: u64, #[case] written: u64) {
    let mut image = image_with_completed_rollout();
    let row = change("app", version(2, order_at), Some(order("v2")));
    image.replace(orders(vec![row], version(2, 10)));
    let earlier = state_of(State::InProgress, version(2, order_at));
    let row = change("app", version(2, written), Some(earlier));
    image.replace(states(vec![row], version(2, 21)));
    assert_eq!(current(&image).state, State::Completed);
    assert_eq!(image.progress.stored_version("app"), version(2, written));
    let again = change("app", version(2, 22), Some(current(&image).clone()));
    image.apply(states(vec![again], version(2, 22)));
    assert!(image.progress.overruled.is_empty());
}

/// A store that keeps evacuations, upstreams and the configuration.
#[derive(Clone, Debug)]
struct Store {
    era: u64,
    counter: u64,
    number: u64,
    evacuations: BTreeMap<String, (u64, bool)>,
    /// Whether each upstream leaves; `None` if it was removed.
    upstreams: BTreeMap<String, (u64, Option<bool>)>,
    /// Upstreams that said that they leave.
    left: BTreeSet<u8>,
}

impl Store {
    fn version(&self) -> Version {
        version(self.era, self.counter)
    }

    /// The changes after the counter, or all rows.
    fn pages(&self, after: Option<u64>) -> [Page; 2] {
        let is_included = |at: u64| after.is_none_or(|after| at > after);
        let evacuations = self
            .evacuations
            .iter()
            .filter(|(_, (at, _))| is_included(*at));
        let evacuations = evacuations.map(|(key, (at, is_set))| {
            change(key, version(self.era, *at), is_set.then(|| evacuation(key)))
        });
        let upstreams = self
            .upstreams
            .iter()
            .filter(|(_, (at, _))| is_included(*at));
        let upstreams = upstreams.map(|(key, (at, state))| {
            let value = state.map(|is_leaving| Upstream {
                is_leaving,
                ..upstream(key, "v1")
            });
            change(key, version(self.era, *at), value)
        });
        let operators = operators(
            self.number,
            Vec::new(),
            evacuations.collect(),
            self.version(),
        );
        let upstreams = page(Rows::Upstreams(upstreams.collect()), self.version());
        [operators, upstreams]
    }

    fn write(&mut self, step: &Step) {
        self.counter += 1;
        let at = self.counter;
        match step {
            Step::Evacuate(key, is_set) => {
                self.evacuations.insert(format!("z-{key}"), (at, *is_set));
            }
            // A process that leaves does not come back.
            Step::Register(key, Some(false)) if self.left.contains(key) => {}
            Step::Register(key, state) => {
                if *state == Some(true) {
                    self.left.insert(*key);
                }
                self.upstreams.insert(format!("i-{key}"), (at, *state));
            }
            _ => self.number = self.number.max(1),
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Configure,
    Evacuate(u8, bool),
    Register(u8, Option<bool>),
    Copy,
    Restore,
    /// A VM reads the changes, or everything if the store does not have its version.
    Follow(usize),
    /// A VM reads everything.
    Read(usize),
    /// A VM reads pages that were sent some steps ago.
    ReadLate(usize),
    /// A VM asks another.
    Ask(usize, usize),
}

const VMS: usize = 3;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        Just(Step::Configure),
        (0_u8..3, any::<bool>()).prop_map(|(key, is_set)| Step::Evacuate(key, is_set)),
        (0_u8..3, prop::option::of(any::<bool>()))
            .prop_map(|(key, state)| Step::Register(key, state)),
        Just(Step::Copy),
        Just(Step::Restore),
        (0..VMS).prop_map(Step::Follow),
        (0..VMS).prop_map(Step::Read),
        (0..VMS).prop_map(Step::ReadLate),
        (0..VMS, 0..VMS).prop_map(|(vm, peer)| Step::Ask(vm, peer)),
    ];
    prop::collection::vec(step, 1..60)
}

/// A store with its last copy, the pages that were sent, and the VMs' images.
struct World {
    store: Store,
    copy: Store,
    /// The operators' last number.
    number: u64,
    sent: Vec<[Page; 2]>,
    images: Vec<Image>,
}

impl World {
    fn new() -> Self {
        let store = Store {
            era: 1,
            counter: 0,
            number: 0,
            evacuations: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            left: BTreeSet::new(),
        };
        Self {
            copy: store.clone(),
            store,
            number: 0,
            sent: Vec::new(),
            images: vec![Image::default(); VMS],
        }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Configure => {
                self.number += 2;
                self.store.counter += 1;
                self.store.number = self.number;
            }
            Step::Evacuate(..) | Step::Register(..) => self.store.write(step),
            Step::Copy => self.copy = self.store.clone(),
            Step::Restore => {
                let era = self.store.era + 1;
                self.store = Store {
                    era,
                    ..self.copy.clone()
                };
            }
            Step::Follow(vm) => self.follow(*vm),
            Step::Read(vm) => self.read(*vm),
            Step::ReadLate(vm) => {
                if let Some(pages) = self.sent.get(self.sent.len() / 2).cloned() {
                    for page in pages {
                        self.images[*vm].replace(page);
                    }
                }
            }
            Step::Ask(vm, peer) => {
                let update = self.images[*peer].since(&self.images[*vm].versions());
                let number = self.images[*peer].configuration.clone();
                self.images[*vm].update(update);
                if let Some((_, row)) = number.rows.into_iter().next() {
                    let page =
                        operators(row.value.number, Vec::new(), Vec::new(), Version::default());
                    self.images[*vm].apply(page);
                }
            }
        }
    }

    fn follow(&mut self, vm: usize) {
        let known = self.images[vm].upstreams.version;
        if known.counter() > self.store.counter {
            return self.read(vm);
        }
        let pages = self.store.pages(Some(known.counter()));
        for page in pages {
            self.images[vm].apply(page);
        }
        if self.store.version().era() > known.era() {
            self.read(vm);
        }
    }

    fn read(&mut self, vm: usize) {
        let pages = self.store.pages(None);
        self.sent.push(pages.clone());
        for page in pages {
            self.images[vm].replace(page);
        }
    }
}

/// Whether each upstream leaves.
fn leavings(image: &Image) -> BTreeMap<String, bool> {
    let rows = image.upstreams.rows.iter();
    rows.map(|(key, row)| (key.clone(), row.value.is_leaving))
        .collect()
}

fn number(image: &Image) -> u64 {
    let mut rows = image.configuration.rows.values();
    rows.next().map_or(0, |row| row.value.number)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    // Whatever is lost, late or told in any order: no configuration goes back, no listed upstream
    // that leaves takes work again, and no two VMs stay apart.
    #[test]
    fn returns_of_the_store_undo_nothing_and_leave_no_vm_apart(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            let before = world.images.clone();
            world.play(step);
            for (before, after) in before.iter().zip(&world.images) {
                prop_assert!(number(after) >= number(before));
                let after = leavings(after);
                for (key, was_leaving) in leavings(before) {
                    let is_ready = after.get(&key) == Some(&false);
                    prop_assert!(!(was_leaving && is_ready), "{key} takes work again");
                }
            }
        }
        world.store.counter += 1;
        for vm in 0..VMS {
            world.read(vm);
            world.images[vm].release_overruled();
        }
        for vm in 0..VMS {
            let image = &world.images[vm];
            prop_assert!(image.overruled().next().is_none());
            let stored = world.store.evacuations.iter().filter(|(_, (_, is_set))| *is_set);
            let stored: Vec<_> = stored.map(|(key, _)| key.as_str()).collect();
            prop_assert_eq!(zones(image), stored);
            let stored = world.store.upstreams.iter().filter(|(_, (_, state))| state.is_some());
            let stored: Vec<_> = stored.map(|(key, _)| key).collect();
            let known = leavings(image);
            prop_assert_eq!(known.keys().collect::<Vec<_>>(), stored);
        }
    }
}
