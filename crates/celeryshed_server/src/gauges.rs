//! Gauges that mirror a watch channel.

use tokio::sync::watch;

/// Sets the gauge `name` of `instance` whenever the watched value changes, until the
/// sender is dropped.
///
/// ```
/// use celeryshed_server::follow_gauge;
/// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// runtime.block_on(async {
///     let (sender, values) = tokio::sync::watch::channel(3u32);
///     drop(sender);
///     follow_gauge("requests_in_progress", "entry-1", values, |value| f64::from(*value)).await;
/// });
/// ```
pub async fn follow_gauge<T>(
    name: &'static str,
    instance: &str,
    mut values: watch::Receiver<T>,
    measure: impl Fn(&T) -> f64,
) {
    let gauge = metrics::gauge!(name, "instance" => instance.to_owned());
    loop {
        gauge.set(measure(&values.borrow_and_update()));
        if values.changed().await.is_err() {
            return;
        }
    }
}
