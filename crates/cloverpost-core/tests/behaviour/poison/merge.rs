//! Merging of facts.

use cloverpost_core::poison::{Fact, Lift, Mark, Register, Status};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::poison::{EXPIRY, at, crash, feature, register};

fn facts() -> impl Strategy<Value = Vec<Fact>> {
    let mark = (0..3_u8, 0..3_u8, 0..3_u8).prop_map(|(number, request, upstream)| {
        Fact::Mark(Mark {
            feature: feature(number),
            evidence: crash(request, upstream),
            is_confirmed: false,
            remaining: EXPIRY,
        })
    });
    let lift =
        (0..3_u8, prop::collection::vec((0..3_u8, 0..3_u8), 0..4)).prop_map(|(number, crashes)| {
            Fact::Lift(Lift {
                feature: feature(number),
                evidence: crashes.into_iter().map(|(r, u)| crash(r, u)).collect(),
            })
        });
    prop::collection::vec(prop_oneof![4 => mark, 1 => lift], 0..12)
}

fn merged<'f>(facts: impl IntoIterator<Item = &'f Fact>) -> Register {
    let mut register = register();
    for fact in facts {
        register.merge(fact.clone(), at(0));
    }
    register
}

fn state(register: &Register) -> (Vec<Fact>, Vec<Status>) {
    let statuses = (0..3).map(|number| register.status(&feature(number), at(1)));
    (register.facts(at(1)).collect(), statuses.collect())
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 1_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

// VMs that received the same facts, duplicated and reordered, must agree on the
// status of every request.
#[test]
fn facts_in_any_order_and_number_give_the_same_register() {
    let order = prop::collection::vec(any::<Index>(), 0..24);
    runner()
        .run(&(facts(), order), |(facts, order)| {
            let mut shuffled: Vec<&Fact> = facts.iter().collect();
            for index in order.iter().filter(|_| !facts.is_empty()) {
                let fact = index.get(&facts);
                shuffled.push(fact);
                let other = index.index(shuffled.len());
                shuffled.swap(0, other);
            }
            prop_assert_eq!(state(&merged(&facts)), state(&merged(shuffled)));
            Ok(())
        })
        .expect("registers agree");
}

#[test]
fn two_vms_that_swap_all_their_facts_agree() {
    runner()
        .run(&(facts(), facts()), |(first, second)| {
            let (mut one, mut two) = (merged(&first), merged(&second));
            for fact in two.facts(at(0)).collect::<Vec<_>>() {
                one.merge(fact, at(0));
            }
            for fact in one.facts(at(0)).collect::<Vec<_>>() {
                two.merge(fact, at(0));
            }
            prop_assert_eq!(state(&one), state(&two));
            Ok(())
        })
        .expect("registers agree");
}
