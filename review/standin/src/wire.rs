//! Names of the platform, from `wire.txt`.

const NAMES: &str = include_str!("../wire.txt");

/// Returns the platform's name for `what`.
pub fn name(what: &str) -> &'static str {
    NAMES
        .lines()
        .filter_map(|line| line.split_once('='))
        .find(|(known, _)| *known == what)
        .map(|(_, name)| name)
        .expect("wire.txt names it")
}

/// Returns the raw value of a field of a flat JSON object, without quotes.
pub fn json_field<'a>(json: &'a str, field: &str) -> Option<&'a str> {
    let start = json.find(&format!("\"{field}\":"))? + field.len() + 3;
    let rest = json[start..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return text.split('"').next();
    }
    rest.split([',', '}']).next().map(str::trim)
}

/// Returns a number of a flat JSON object; 0 if there is none.
pub fn json_number(json: &str, field: &str) -> u64 {
    json_field(json, field).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Parses a duration with the unit `ms` or `s` into milliseconds.
pub fn millis(text: &str) -> u64 {
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.trim_end_matches('s'), 1000.0),
    };
    (number.parse::<f64>().unwrap_or(0.0) * factor) as u64
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    text
}
