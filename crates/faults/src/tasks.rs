//! Tasks of the ground. The runtime swallows what panics in a task, and the run would go on without clients, or without a
//! judge: here it is kept, and the run ends with it.

use std::any::Any;
use std::cell::RefCell;
use std::future::Future;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

use tokio::task::JoinHandle;

thread_local! {
    /// What has take_panic first in a task of this thread; a run has a thread to itself.
    static PANICKED: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// What a panic panic_message.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| (*s).to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "no words".to_string())
}

/// What has take_panic since it was last asked.
pub fn take_panic() -> Option<String> {
    PANICKED.with_borrow_mut(Option::take)
}

/// As [`tokio::task::spawn_local`]; ends without a result where the task panics.
pub fn spawn_local<F>(task: F) -> JoinHandle<Option<F::Output>>
where
    F: Future + 'static,
    F::Output: 'static,
{
    tokio::task::spawn_local(async move {
        let mut task = pin!(task);
        std::future::poll_fn(move |cx| {
            // The task is not polled again after it.
            match catch_unwind(AssertUnwindSafe(|| task.as_mut().poll(cx))) {
                Ok(poll) => poll.map(Some),
                Err(panic) => {
                    PANICKED.with_borrow_mut(|first| {
                        first.get_or_insert_with(|| panic_message(panic.as_ref()));
                    });
                    Poll::Ready(None)
                }
            }
        })
        .await
    })
}
