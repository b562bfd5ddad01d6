//! The `common_derives!` macro.

/// Applies one of the common derive sets to each item.
///
/// - `value`: cloned and compared;
/// - `index`: copied, ordered and hashed, for small keys;
/// - `wire`: serialized, without `Eq`;
/// - `record`: serialized, with `Eq`.
///
/// ```
/// celeryshed_base::common_derives! { index:
///     /// A position in a queue.
///     pub struct QueueIndex(pub u32);
/// }
/// assert!(QueueIndex(1) < QueueIndex(2));
/// ```
#[macro_export]
macro_rules! common_derives {
    (value: $($item:item)+) => {
        $(#[derive(Clone, Debug, PartialEq, Eq)] $item)+
    };
    (index: $($item:item)+) => {
        $(#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)] $item)+
    };
    (wire: $($item:item)+) => {
        $(#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)] $item)+
    };
    (record: $($item:item)+) => {
        $(#[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)] $item)+
    };
}
