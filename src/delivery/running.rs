//! Follows dispatched requests to their end, also when nobody waits for them.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

/// A dispatched request.
///
/// Resolves when the request ends. If it is dropped before that, the request is
/// cancelled at the upstream and followed to its end in the background: its
/// slot stays occupied while it may still run, and its outcome is recorded.
#[derive(Debug)]
pub struct RunningRequest<R, C, F>
where
    R: Future + Send + 'static,
    C: FnOnce() -> F,
    F: Future<Output = ()> + Send + 'static,
{
    run: Option<Pin<Box<R>>>,
    cancel: Option<C>,
}

impl<R, C, F> RunningRequest<R, C, F>
where
    R: Future + Send + 'static,
    C: FnOnce() -> F,
    F: Future<Output = ()> + Send + 'static,
{
    /// Wraps `run`, which must end by itself. `cancel` is called only if the
    /// value is dropped before `run` has ended.
    pub fn new(run: R, cancel: C) -> Self {
        Self {
            run: Some(Box::pin(run)),
            cancel: Some(cancel),
        }
    }
}

/// `run` is boxed, and no other field is ever pinned.
impl<R, C, F> Unpin for RunningRequest<R, C, F>
where
    R: Future + Send + 'static,
    C: FnOnce() -> F,
    F: Future<Output = ()> + Send + 'static,
{
}

impl<R, C, F> Future for RunningRequest<R, C, F>
where
    R: Future + Send + 'static,
    C: FnOnce() -> F,
    F: Future<Output = ()> + Send + 'static,
{
    type Output = R::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(run) = self.run.as_mut() else {
            return Poll::Pending;
        };
        let polled = run.as_mut().poll(cx);
        if polled.is_ready() {
            self.run = None;
        }
        polled
    }
}

impl<R, C, F> Drop for RunningRequest<R, C, F>
where
    R: Future + Send + 'static,
    C: FnOnce() -> F,
    F: Future<Output = ()> + Send + 'static,
{
    fn drop(&mut self) {
        let (Some(run), Some(cancel)) = (self.run.take(), self.cancel.take()) else {
            return;
        };
        let cancellation = cancel();
        tokio::spawn(async move {
            let followed = async move {
                drop(run.await);
            };
            tokio::join!(cancellation, followed);
        });
    }
}
