//! How long data may have been waiting when it is read, after stalls of the process.

use marldeal_lifecycle::stalls::StallDetector;

/// Reports the backlog of the last stall as read.
fn report_backlog_read(detector: &mut StallDetector, now: f64) {
    let stall_end = detector.backlog_since(now).expect("there is a backlog");
    detector.backlog_read(now, stall_end);
}

#[test]
fn data_read_just_after_a_stall_may_be_as_old_as_the_stall() {
    let mut detector = StallDetector::default();
    detector.heartbeat(0.0, Some(100.0));
    detector.heartbeat(100.0, Some(200.0));
    // Timers fire first; the waiting data is read after them.
    detector.heartbeat(3100.0, Some(3200.0));
    assert_eq!(detector.max_queued_ms(3101.0), 3001.0);
    detector.heartbeat(3150.0, Some(3250.0));
    report_backlog_read(&mut detector, 3150.0);
    assert_eq!(detector.max_queued_ms(3200.0), 3100.0);
    assert_eq!(detector.max_queued_ms(3201.0), 0.0);
}

/// A process that gets little CPU time takes long to read what arrived during a stall.
#[test]
fn data_may_be_as_old_as_the_stall_until_the_backlog_has_been_read() {
    let mut detector = StallDetector::default();
    detector.heartbeat(0.0, Some(100.0));
    detector.heartbeat(3000.0, Some(3100.0));
    detector.heartbeat(3100.0, Some(3200.0));
    detector.heartbeat(3200.0, Some(3300.0));
    assert_eq!(detector.max_queued_ms(3234.0), 3234.0);
    report_backlog_read(&mut detector, 3240.0);
    assert_eq!(detector.max_queued_ms(3241.0), 0.0);
    assert_eq!(detector.backlog_since(3241.0), None);
}

/// A request whose first bytes were read soon after a stall may have waited, however long its rest takes.
#[test]
fn data_read_since_a_stall_may_have_waited() {
    let mut detector = StallDetector::default();
    detector.heartbeat(0.0, Some(100.0));
    detector.heartbeat(3000.0, Some(9000.0));
    assert!(detector.may_have_queued_since(3301.0, 3300.0), "the backlog has not been read");
    report_backlog_read(&mut detector, 3301.0);
    assert!(detector.may_have_queued_since(3400.0, 3301.0), "it was read with the backlog");
    assert!(!detector.may_have_queued_since(3400.0, 3302.0));
}

/// A process that was stopped and then gets no CPU time for a moment has stalled twice; data that arrived during the
/// first stall is still unread after the second.
#[test]
fn a_second_stall_does_not_hide_the_backlog_of_the_first() {
    let mut detector = StallDetector::default();
    detector.heartbeat(0.0, Some(100.0));
    detector.heartbeat(3000.0, Some(3010.0));
    let first_end = detector.backlog_since(3000.0).expect("there is a backlog");
    detector.heartbeat(3070.0, Some(3080.0));
    assert_eq!(detector.last_stall_end(3070.0), Some(3070.0));
    assert_eq!(detector.max_queued_ms(3090.0), 3090.0);
    // The report for the first stall comes too late to say anything about the second.
    detector.backlog_read(3095.0, first_end);
    assert_eq!(detector.max_queued_ms(3200.0), 3200.0);
    report_backlog_read(&mut detector, 3200.0);
    assert_eq!(detector.max_queued_ms(3301.0), 0.0);
    // A stall long after that starts anew.
    detector.heartbeat(3301.0, Some(3400.0));
    assert_eq!(detector.max_queued_ms(4301.0), 1000.0);
}

#[test]
fn an_idle_or_slightly_late_caller_is_not_stalled() {
    let mut detector = StallDetector::default();
    detector.heartbeat(0.0, None);
    assert_eq!(detector.max_queued_ms(60_000.0), 0.0, "no heartbeat was due");
    detector.heartbeat(60_000.0, Some(90_000.0));
    assert_eq!(detector.max_queued_ms(89_000.0), 0.0);
    assert_eq!(
        (detector.max_queued_ms(90_050.0), detector.last_stall_end(90_050.0)),
        (0.0, None),
        "within the tolerance for a busy machine"
    );
    assert_eq!(
        (detector.max_queued_ms(90_051.0), detector.last_stall_end(90_060.0)),
        (30_051.0, Some(90_051.0))
    );
}

#[test]
fn a_stall_is_detected_once() {
    let mut detector = StallDetector::default();
    detector.heartbeat(0.0, Some(100.0));
    assert!(detector.max_queued_ms(2000.0) > 0.0);
    report_backlog_read(&mut detector, 2000.0);
    assert_eq!(detector.max_queued_ms(2150.0), 0.0);
    detector.heartbeat(2160.0, Some(2260.0));
    assert_eq!(detector.max_queued_ms(2300.0), 0.0);
}
