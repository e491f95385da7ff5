//! Deliberate faults are in a build with the feature `broken` alone.

fn holds(needle: &str) -> bool {
    let program = std::fs::read(env!("CARGO_BIN_EXE_gullcart")).unwrap();
    String::from_utf8_lossy(&program).contains(needle)
}

#[test]
fn the_default_daemon_has_no_deliberate_fault() {
    for word in ["GULLCART_BROKEN", "resends-unsafe", "side-by-side", "forgets-at-restart"] {
        assert_eq!(holds(word), cfg!(feature = "broken"), "{word}");
    }
    // The look itself finds what is there.
    assert!(holds("BALANCER_CONFIG"));
}
