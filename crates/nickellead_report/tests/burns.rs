//! Burn rates of logs with known counts.
#![allow(clippy::unwrap_used)]

use nickellead_report::{BurnSettings, read_lines, report_burn};

/// Ten sampled answers stand for 640; 10 failures early and 6 at the end.
fn logs() -> String {
    let answered = |at: u32| {
        format!("{at} vm event=request-answered request=a route=pay status=200 after_ms=1\n")
    };
    let failed =
        |at: u32| format!("{at} vm event=request-failed request=b route=pay error=overloaded\n");
    let mut text = String::new();
    (0..10).for_each(|number| text.push_str(&answered(100 + number * 10)));
    (0..10).for_each(|number| text.push_str(&failed(100 + number)));
    (0..6).for_each(|number| text.push_str(&failed(195 + number)));
    text.push_str("150 vm event=log-lines-dropped count=2\n");
    text
}

#[test]
fn a_long_window_counts_all_and_a_short_one_the_end() {
    let settings = BurnSettings { objective: 0.9, windows_s: vec![1_000.0, 5.0] };
    let report = report_burn(&read_lines([logs().as_str()]), &settings);
    assert_eq!((report.routes.len(), report.lines_dropped), (1, 2));
    let [long, short] = report.routes[0].windows.as_slice() else { unreachable!() };
    assert_eq!((long.answered, long.failed), (640, 16));
    assert!((long.burn - 16.0 / 656.0 / 0.1).abs() < 1e-9, "{long:?}");
    assert_eq!((short.answered, short.failed), (0, 5));
    assert!((short.burn - 10.0).abs() < 1e-9, "{short:?}");
    assert!(
        report.to_string().contains("route=pay window_s=1000 answered=640 failed=16 burn=0.24")
    );
    assert!(serde_json::to_string(&report).unwrap().contains("\"lines_dropped\":2"));
}

#[test]
fn no_lines_burn_nothing() {
    let settings = BurnSettings { objective: 0.99, windows_s: vec![60.0] };
    assert!(report_burn(&[], &settings).routes.is_empty());
}
