//! Macros that declare plain data types, names and quantities with their common derives.

/// Derives `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize` for each item.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares a validated name: a newtype over `String` with `Display` and `FromStr`.
///
/// A name has 1 to 120 bytes: ASCII letters, digits, `.`, `_`, `-` and `:`. Parsing and
/// deserializing reject any other text.
#[macro_export]
macro_rules! id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::errors::Error;

            fn from_str(text: &str) -> $crate::errors::Result<Self> {
                if !$crate::units::is_name(text) {
                    return Err($crate::errors::bad_name(text));
                }
                Ok(Self(text.to_string()))
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
                let text = String::deserialize(source)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Declares a newtype over `u64` for a count, size, rate or sequence number, with `Display`,
/// `FromStr` and saturating addition.
#[macro_export]
macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::errors::Error;

            fn from_str(text: &str) -> $crate::errors::Result<Self> {
                text.parse().map(Self).map_err(|_| $crate::errors::bad_number(text))
            }
        }

        impl std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }
    };
}
