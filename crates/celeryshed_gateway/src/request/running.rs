//! The attempts of one request that run at the same time.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

use celeryshed_dispatch::EndpointId;

use crate::dispatcher_task::SilenceReporter;

struct RunningAttempt<'a, T> {
    endpoint: EndpointId,
    silence: SilenceReporter,
    future: Pin<Box<dyn Future<Output = T> + Send + 'a>>,
}

/// Attempts at different endpoints; dropping them withdraws the request there.
pub(crate) struct RunningAttempts<'a, T>(Vec<RunningAttempt<'a, T>>);

impl<'a, T> RunningAttempts<'a, T> {
    pub(crate) fn new() -> Self {
        Self(Vec::new())
    }

    pub(crate) fn push(
        &mut self,
        endpoint: EndpointId,
        silence: SilenceReporter,
        future: impl Future<Output = T> + Send + 'a,
    ) {
        self.0.push(RunningAttempt { endpoint, silence, future: Box::pin(future) });
    }

    pub(crate) fn len(&self) -> u32 {
        self.0.len() as u32
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The endpoints of the attempts, oldest attempt first.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &EndpointId> + '_ {
        self.0.iter().map(|attempt| &attempt.endpoint)
    }

    /// Reports that none of the endpoints has sent anything for some time.
    pub(crate) fn report_silence(&self) {
        for attempt in &self.0 {
            attempt.silence.report();
        }
    }

    /// Waits for the next attempt to end, and removes it; never ready if there is none. Dropping the
    /// future ends no attempt.
    pub(crate) async fn next_end(&mut self) -> (EndpointId, T) {
        poll_fn(|task| {
            for index in 0..self.0.len() {
                if let Poll::Ready(end) = self.0[index].future.as_mut().poll(task) {
                    return Poll::Ready((self.0.remove(index).endpoint, end));
                }
            }
            Poll::Pending
        })
        .await
    }
}
