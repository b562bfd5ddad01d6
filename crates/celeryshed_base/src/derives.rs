//! The common sets of derives.

/// Applies one of the project's common derive sets to each item.
///
/// - `value`: compared and cloned;
/// - `index`: small, copied, ordered and hashed;
/// - `wire`: serialized;
/// - `record`: serialized and compared for full equality.
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
