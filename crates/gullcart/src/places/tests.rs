use super::*;

#[test]
fn who_makes_progress_gives_way_last() {
    let ms = Duration::from_millis;
    let order = [
        (Doing::Parting, ms(150), ms(150)),
        (Doing::Silent, ms(300), ms(300)),
        (Doing::Half, ms(600), ms(500)),
        (Doing::Idle, ms(10), ms(10)),
        (Doing::Silent, ms(10), ms(10)),
        (Doing::Half, ms(3000), ms(50)),
    ];
    let ranks = order.map(|(doing, lasted, still)| rank(doing, lasted, still));
    assert!(ranks.windows(2).all(|pair| pair[0] < pair[1]), "{ranks:?}");
    for (doing, lasted, still) in [
        // Written in two seconds, and still coming.
        (Doing::Half, ms(2000), ms(300)),
        (Doing::Busy, ms(9000), ms(9000)),
        (Doing::Leaving, ms(9000), ms(9000)),
        // Its client has not had the time to hear of it.
        (Doing::Parting, ms(10), ms(10)),
    ] {
        assert_eq!(rank(doing, lasted, still), None);
    }
}
