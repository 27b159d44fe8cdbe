//! Names of the variants of an enum, for use as kinds.

/// Defines a constant with the names of all variants (`Enum.Variant`) of an enum of tuple variants, and a function that
/// returns the name of a value's variant. Compilation fails if a variant is not listed.
#[macro_export]
macro_rules! kinds {
    ($names:ident, $name_of:ident, $enumeration:ident { $($variant:ident),+ $(,)? }) => {
        const $names: &[&str] = &[$(concat!(stringify!($enumeration), ".", stringify!($variant))),+];

        fn $name_of(value: &$enumeration) -> &'static str {
            match value {
                $($enumeration::$variant(..) => concat!(stringify!($enumeration), ".", stringify!($variant)),)+
            }
        }
    };
}
