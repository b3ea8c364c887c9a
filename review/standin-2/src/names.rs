//! The platform's names, which `names.txt` lists.

const NAMES: &str = include_str!("../names.txt");

/// Returns the platform's name of something.
pub fn name_of(what: &str) -> &'static str {
    NAMES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(key, _name)| *key == what)
        .map(|(_key, name)| name)
        .expect("names.txt lists every name in use")
}
