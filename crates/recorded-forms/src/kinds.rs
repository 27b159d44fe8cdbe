//! The names of an enumeration's kinds.

/// Defines a list of the names of all kinds of an enumeration whose kinds carry a value each, and a function that names one.
/// A kind that is not listed does not compile.
#[macro_export]
macro_rules! kinds {
    ($list:ident, $name_of:ident, $enumeration:ident { $($kind:ident),+ $(,)? }) => {
        const $list: &[&str] = &[$(concat!(stringify!($enumeration), ".", stringify!($kind))),+];

        fn $name_of(kind: &$enumeration) -> &'static str {
            match kind {
                $($enumeration::$kind(..) => concat!(stringify!($enumeration), ".", stringify!($kind)),)+
            }
        }
    };
}
