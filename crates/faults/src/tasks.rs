//! Tasks of the test environment. The runtime swallows the panic of a task, and the run would go on without
//! clients or without an invariant; here the panic is kept, and the run ends with an error.

use std::any::Any;
use std::cell::RefCell;
use std::future::Future;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

use tokio::task::JoinHandle;

thread_local! {
    /// Message of the first panic in a task of this thread; each run has its own thread.
    static PANICKED: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Returns the message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| (*s).to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "no message".to_string())
}

/// Takes the message of the first panic since the last call.
pub fn take_panic() -> Option<String> {
    PANICKED.with_borrow_mut(Option::take)
}

/// Like [`tokio::task::spawn_local`], but the result is `None` if the task panics.
pub fn spawn_local<F>(task: F) -> JoinHandle<Option<F::Output>>
where
    F: Future + 'static,
    F::Output: 'static,
{
    tokio::task::spawn_local(async move {
        let mut task = pin!(task);
        std::future::poll_fn(move |cx| {
            // The task is not polled again after a panic.
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
