# Chores. `just` lists them.

default:
    @just --list

# The checks that every change passes.
ci:
    .ci/run

# Format the tree.
fmt:
    cargo fmt --all

# Lint as CI does.
lint:
    cargo clippy --workspace --all-targets -- -D warnings

# All tests.
test:
    cargo test --workspace

# The whole path in one process, with every promise checked.
demo requests="200":
    cargo run --release -- demo --requests {{requests}}

# Overhead of one hop.
bench-hop:
    cargo run --release -- bench hop
