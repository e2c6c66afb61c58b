use super::*;

#[test]
fn what_ships_is_sane_and_what_is_not_is_told() {
    assert_eq!(LevelTable::built_in().validate(4), []);
    let mut table = LevelTable::built_in();
    table.levels[0].when[0].leave = 0.19;
    table.levels[0].when.remove(3);
    table.levels[1].when[0].enter = 0.2;
    table.levels[1].when[0].leave = 0.1;
    table.levels[1].effects.max_attempts = Some(5);
    table.levels[1].effects.retry_after_factor = 0.5;
    let faults = table.validate(4);
    let words =
        ["would swing", "believed alone", "no more than the level below", "most_attempts", "come_back"];
    assert!(words.iter().all(|w| faults.iter().any(|f| f.why.contains(w))), "{faults:?}");
    assert_eq!(faults.len(), words.len(), "{faults:?}");
    table.levels[0].when.clear();
    table.levels[1].min_stay_ms = 0;
    assert!(table.validate(4).iter().any(|f| f.why.contains("out of reach")));
}

#[test]
fn the_operators_file_says_the_same() {
    let text = "[[level]]\nname = \"reduced\"\nenter_ms = 1000\nleave_ms = 2000\nstay_ms = 3000\n\
        when = [{ signal = \"avoided\", enter = 0.3, leave = 0.1 }]\neffects = { most_attempts = 2, admit = { lookup = 0.5 } }\n";
    let table: LevelTable = toml::from_str(text).expect("a table");
    assert_eq!((table.validate(4), table.levels[0].effects.admitted_shares["lookup"]), (vec![], 0.5));
    assert!(toml::from_str::<LevelTable>(&text.replace("avoided", "weather")).is_err());
}
