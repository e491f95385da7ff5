//! Scenario files and the days drawn from them.

use gullcart_judge::trace::Timestamp;
use gullcart_rehearsal::{Action, Day, Scenario, SHIPPED};
use proptest::prelude::*;

const HEAD: &str = r#"name = "test"
seconds = 20

[[class]]
name = "pay"
effect = "unsafe"

[[partner]]
name = "bank"
rate = 30
endpoints = 3

[[partner]]
name = "shop"
kind = "employers"
rate = 10

[traffic]
per_second = 20
"#;

fn read(text: &str) -> Scenario {
    Scenario::read("test.toml", text).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn what_ships_can_be_read_and_drawn() {
    let names: Vec<&str> = SHIPPED.iter().map(|shipped| shipped.name).collect();
    for name in ["smoke", "payday", "christmas", "overlap", "mid-drain", "restarts"] {
        assert!(names.contains(&name), "{name}");
    }
    for shipped in SHIPPED {
        let scenario = Scenario::read(shipped.name, shipped.text).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(scenario.name, shipped.name);
        assert!(!scenario.about.is_empty());
        let day = Day::draw(&scenario, 1);
        let expected = scenario.traffic.per_second * scenario.seconds;
        let ratio = day.arrivals.len() as f64 / expected;
        assert!((0.7..1.6).contains(&ratio), "{}: {ratio} of the arrivals", shipped.name);
    }
}

/// One error each, with file, line and key.
#[test]
fn a_bad_file_is_refused_with_file_line_and_key() {
    let cases = [
        // What is wrong in the form.
        (HEAD.replace("seconds = 20", "seconds = \"long\""), 2, "seconds"),
        (HEAD.replace("rate = 30", "rat = 30"), 10, "rat"),
        (HEAD.replace("effect = \"unsafe\"", "effect = \"harmful\""), 6, "effect"),
        (HEAD.replace("per_second = 20", "per_second ="), 19, "per_second"),
        // ... and in the meaning.
        (HEAD.replace("seconds = 20", "seconds = -1"), 2, "seconds"),
        (HEAD.replace("endpoints = 3", "endpoints = 0"), 11, "partner[0].endpoints"),
        (HEAD.replace("endpoints = 3", "endpoints = 1025"), 11, "partner[0].endpoints"),
        (
            HEAD.replace(
                "[[partner]]\nname = \"bank\"",
                "[couriers]\ncount = 1025\n\n[[partner]]\nname = \"bank\"",
            ),
            9,
            "couriers.count",
        ),
        (HEAD.replace("rate = 10", "count = 0"), 16, "partner[1].count"),
        (HEAD.replace("name = \"shop\"", "name = \"bank\""), 14, "partner[1].name"),
        (
            format!("{HEAD}[[fault]]\nname = \"x\"\nkind = \"silent\"\nlength_s = 1\ntargets = [\"banc\"]\n"),
            24,
            "fault[0].targets",
        ),
        (format!("{HEAD}[[fault]]\nname = \"x\"\nkind = \"silent\"\n"), 20, "fault[0].length_s"),
        (
            format!("{HEAD}[[fault]]\nname = \"x\"\nkind = \"reset\"\nlength_s = 1\nseverity = 2\n"),
            24,
            "fault[0].severity",
        ),
        (
            format!("{HEAD}[[fault]]\nname = \"x\"\nkind = \"slow\"\nlength_s = 1\nduring = \"y\"\n"),
            24,
            "fault[0].during",
        ),
        (
            format!(
                "{HEAD}[[fault]]\nname = \"x\"\nkind = \"drain\"\nlength_s = 1\ntargets = [\"bank\"]\n\n\
                 [[fault]]\nname = \"y\"\nkind = \"slow\"\nlength_s = 1\nduring = \"x:4\"\n"
            ),
            30,
            "fault[1].during",
        ),
        (
            format!(
                "{HEAD}[[fault]]\nname = \"x\"\nkind = \"slow\"\nlength_s = 1\nduring = \"y\"\n\n\
                 [[fault]]\nname = \"y\"\nkind = \"slow\"\nlength_s = 1\nduring = \"x\"\n"
            ),
            24,
            "fault[0].during",
        ),
    ];
    for (text, line, key) in cases {
        match Scenario::read("test.toml", &text) {
            Ok(_) => panic!("{key}: it was taken"),
            Err(error) => {
                assert_eq!((error.line, error.key.as_str()), (line, key), "{error}");
                assert!(error.to_string().starts_with(&format!("test.toml:{line}: ")), "{error}");
            }
        }
    }
}

/// Neither kind that repeats can be drawn with an interval that is no length of time.
#[test]
fn an_interval_without_a_length_is_refused() {
    for kind in ["upgrade", "stall"] {
        for every in ["nan", "inf", "0", "-1"] {
            let fault =
                format!("[[fault]]\nname = \"x\"\nkind = \"{kind}\"\nlength_s = 1\nevery_s = {every}\n");
            let error = Scenario::read("test.toml", &format!("{HEAD}{fault}")).expect_err(every);
            assert_eq!((error.line, error.key.as_str()), (24, "fault[0].every_s"), "{kind} {every}: {error}");
        }
    }
}

fn when(day: &Day, which: impl Fn(&Action) -> bool) -> Vec<Timestamp> {
    day.actions.iter().filter(|(_, action)| which(action)).map(|(at, _)| *at).collect()
}

#[test]
fn a_fault_starts_in_or_after_a_phase_of_another() {
    let text = format!(
        "{HEAD}[[fault]]\nname = \"drain\"\nkind = \"drain\"\nstart_s = 2\nlength_s = 4\nstep_s = 1.5\n\
         targets = [\"bank\"]\n\n\
         [[fault]]\nname = \"in\"\nkind = \"silent\"\nduring = \"drain:2\"\nstart_s = 0.25\nlength_s = 1\n\
         targets = [\"shop\"]\n\n\
         [[fault]]\nname = \"behind\"\nkind = \"kill\"\nafter = \"drain\"\nstart_s = 0.5\nlength_s = 1\n\
         targets = [\"courier-0\"]\n\n\
         [[fault]]\nname = \"chained\"\nkind = \"kill\"\nafter = \"behind\"\nlength_s = 1\ntargets = [\"courier-1\"]\n"
    );
    let day = Day::draw(&read(&text), 1);
    assert_eq!(
        when(&day, |action| matches!(action, Action::Drain { .. })),
        [Timestamp::from_millis(2000), Timestamp::from_millis(3500), Timestamp::from_millis(5000)]
    );
    assert_eq!(
        when(&day, |action| matches!(action, Action::Begin { partner: 1, .. })),
        [Timestamp::from_millis(3750)]
    );
    let killed =
        |who| move |action: &Action| matches!(action, Action::Kill { courier, .. } if *courier == who);
    // The last endpoint is gone at 9 s.
    assert_eq!(when(&day, killed(0)), [Timestamp::from_millis(9500)]);
    // Away for a second, and one more until it counts as back.
    assert_eq!(when(&day, killed(1)), [Timestamp::from_millis(11_500)]);
}

#[test]
fn a_kind_an_endpoint_and_all_are_targets() {
    let with = |targets: &str| {
        let text =
            format!("{HEAD}[[fault]]\nname = \"x\"\nkind = \"slow\"\nlength_s = 1\ntargets = [{targets}]\n");
        let day = Day::draw(&read(&text), 1);
        when(&day, |action| matches!(action, Action::Begin { .. })).len()
    };
    assert_eq!(with("\"employers\""), 1);
    assert_eq!(with("\"bank/2\", \"shop\""), 2);
    assert_eq!(with("\"all\""), 2);
}

/// A surge adds messages where it is, and leaves the others as they were.
#[test]
fn a_surge_changes_nothing_outside_of_it() {
    let surge =
        format!("{HEAD}[[fault]]\nname = \"s\"\nkind = \"surge\"\nstart_s = 5\nlength_s = 5\nseverity = 3\n");
    let day = Day::draw(&read(&surge), 3);
    let count = |from: u64, to: u64| {
        day.arrivals
            .iter()
            .filter(|arrival| {
                (Timestamp::from_millis(from)..Timestamp::from_millis(to)).contains(&arrival.at)
            })
            .count() as f64
    };
    let (inside, outside) = (count(5000, 10_000) / 5.0, (count(0, 5000) + count(10_000, 20_000)) / 15.0);
    assert!((45.0..75.0).contains(&inside), "{inside} a second");
    assert!((15.0..25.0).contains(&outside), "{outside} a second");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_day_follows_from_its_seed(seed in any::<u64>(), rate in 1.0f64..200.0, clumps in 0.0f64..0.5) {
        let text = HEAD.replace("per_second = 20", &format!("per_second = {rate:.3}\nclumps = {clumps:.3}"));
        let scenario = read(&text);
        let (day, again) = (Day::draw(&scenario, seed), Day::draw(&scenario, seed));
        prop_assert_eq!(&day.arrivals, &again.arrivals);
        prop_assert!(day.arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
        prop_assert!(day.arrivals.iter().all(|arrival| arrival.at <= Timestamp::from_millis(20_000)));
        if day.arrivals.len() > 20 {
            prop_assert_ne!(&day.arrivals, &Day::draw(&scenario, seed.wrapping_add(1)).arrivals);
        }
    }
}
