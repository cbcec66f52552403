//! A small JSON reader and writer: the review adds no dependency.

use std::fmt::Write as _;

/// A JSON value.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Json {
    #[default]
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `Null` if it isn't valid JSON.
    pub fn parse(text: &[u8]) -> Self {
        let mut reader = Reader { text, at: 0 };
        reader.value().unwrap_or_default()
    }

    /// A field of a map; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Self {
        const NONE: &Json = &Json::Null;
        match self {
            Self::Map(fields) => fields.iter().find(|(key, _)| key == name).map_or(NONE, |(_, value)| value),
            _ => NONE,
        }
    }

    pub fn int(&self) -> i64 {
        match self {
            Self::Int(number) => *number,
            Self::Float(number) => *number as i64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Writes the value.
    pub fn write(&self, to: &mut String) {
        match self {
            Self::Null => to.push_str("null"),
            Self::Bool(flag) => to.push_str(if *flag { "true" } else { "false" }),
            Self::Int(number) => drop(write!(to, "{number}")),
            Self::Float(number) => drop(write!(to, "{number:?}")),
            Self::Text(text) => quote(text, to),
            Self::List(items) => {
                to.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        to.push(',');
                    }
                    item.write(to);
                }
                to.push(']');
            }
            Self::Map(fields) => {
                to.push('{');
                for (index, (key, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        to.push(',');
                    }
                    quote(key, to);
                    to.push(':');
                    value.write(to);
                }
                to.push('}');
            }
        }
    }
}

fn quote(text: &str, to: &mut String) {
    to.push('"');
    for character in text.chars() {
        match character {
            '"' => to.push_str("\\\""),
            '\\' => to.push_str("\\\\"),
            control if control < ' ' => drop(write!(to, "\\u{:04x}", control as u32)),
            other => to.push(other),
        }
    }
    to.push('"');
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip();
        (self.text.get(self.at) == Some(&expected)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.text.get(self.at)? {
            b'{' => self.map(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text.get(self.at..self.at + word.len())? == word.as_bytes();
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while matches!(self.text.get(self.at), Some(b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse()
            .map(Json::Int)
            .ok()
            .or_else(|| text.parse().map(Json::Float).ok())
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            match *self.text.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(bytes).ok();
                }
                b'\\' => {
                    let escaped = *self.text.get(self.at + 1)?;
                    self.at += 2;
                    let character = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?).unwrap_or('?')
                        }
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(character.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => {
                    bytes.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn map(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Map(fields));
        }
        loop {
            self.skip();
            let key = self.string()?;
            self.take(b':')?;
            fields.push((key, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Map(fields));
            }
        }
    }
}

/// Standard base64 with padding; the stand-ins only need lengths and their own values.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) as usize & 63;
            text.push(if digit > three.len() { '=' } else { char::from(DIGITS[index]) });
        }
    }
    text
}

/// Number of bytes that a base64 text stands for.
pub fn base64_length(text: &str) -> usize {
    text.len() / 4 * 3 - text.bytes().rev().take_while(|byte| *byte == b'=').count()
}

/// The bytes that a base64 text stands for.
pub fn decode(text: &str) -> Vec<u8> {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => u32::from(byte - b'A'),
        b'a'..=b'z' => u32::from(byte - b'a') + 26,
        b'0'..=b'9' => u32::from(byte - b'0') + 52,
        b'+' => 62,
        b'/' => 63,
        _ => 0,
    };
    let mut bytes: Vec<u8> = text
        .as_bytes()
        .chunks(4)
        .flat_map(|four| {
            let word = four.iter().fold(0, |word, byte| word << 6 | digit(*byte));
            [(word >> 16) as u8, (word >> 8) as u8, word as u8]
        })
        .collect();
    bytes.truncate(base64_length(text));
    bytes
}
