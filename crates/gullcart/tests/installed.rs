//! Injected faults are only in builds with the feature `broken`.

fn program_contains(needle: &str) -> bool {
    let program = std::fs::read(env!("CARGO_BIN_EXE_gullcart")).unwrap();
    String::from_utf8_lossy(&program).contains(needle)
}

#[test]
fn the_default_build_has_no_injected_faults() {
    for word in ["GULLCART_BROKEN", "resends-unsafe", "side-by-side", "forgets-at-restart"] {
        assert_eq!(program_contains(word), cfg!(feature = "broken"), "{word}");
    }
    // Shows that the search finds strings of the program.
    assert!(program_contains("BALANCER_CONFIG"));
}
