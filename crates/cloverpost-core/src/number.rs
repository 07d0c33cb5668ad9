//! Macros for integer newtypes.

/// Defines an integer newtype with its conversions.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps an integer.
            #[must_use]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The wrapped integer.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

/// Defines a monotonic counter with its conversions.
macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        crate::number::number! {
            $(#[$doc])*
            $name
        }

        impl $name {
            /// The next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

pub(crate) use {counter, number};
