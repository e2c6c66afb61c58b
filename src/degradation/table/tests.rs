//! Tests of how the operators' file is parsed.

use super::*;

#[test]
fn the_keys_of_the_operators_file_are_mapped() {
    let text = "[[level]]\nname = \"reduced\"\nenter_ms = 1000\nleave_ms = 2000\nstay_ms = 3000\n\
        when = [{ signal = \"avoided\", enter = 0.3, leave = 0.1, with = \"jam\" }]\n\
        effects = { most_attempts = 2, admit = { lookup = 0.5 }, quiet = true, come_back = 3.0 }\n";
    let table: DegradationTable = toml::from_str(text).expect("the table parses");
    assert_eq!(table.validate(4), []);
    let level = &table.levels[0];
    assert_eq!(
        (
            level.enter_after_ms,
            level.leave_after_ms,
            level.min_stay_ms
        ),
        (1_000, 2_000, 3_000)
    );
    assert_eq!(
        level.conditions,
        [grouped(Signal::EjectedServers, 0.3, 0.1)]
    );
    assert_eq!(level.effects.admitted_shares["lookup"], 0.5);
    assert_eq!(
        (level.effects.max_attempts, level.effects.skip_late_samples),
        (Some(2), true)
    );
    assert_eq!(level.effects.retry_after_factor, 3.0);
    assert!(toml::from_str::<DegradationTable>(&text.replace("avoided", "weather")).is_err());
}

#[test]
fn each_signal_has_its_key_in_the_operators_file() {
    let keys = [
        "avoided",
        "one_holder",
        "no_holder",
        "lacking",
        "turn_delay",
        "out",
        "repeats",
        "come_back",
        "descriptors",
        "memory",
    ];
    for (key, signal) in keys.into_iter().zip(Signal::ALL) {
        let text = format!("signal = \"{key}\"\nenter = 0.3\nleave = 0.1\n");
        let condition: Condition = toml::from_str(&text).expect("the condition parses");
        assert_eq!(condition.signal, signal);
    }
}
