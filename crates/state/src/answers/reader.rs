//! Reader for TOML documents that collects all problems with their lines instead of stopping at the
//! first one.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{Problem, units};
use crate::config::Share;
use crate::ids::Millis;

/// A value in the document.
pub(super) type Value<'i> = DeValue<'i>;

/// Maximum number of reported syntax errors. One mistake can cause several.
const MAX_SYNTAX_PROBLEMS: usize = 20;

/// Why a value was refused, and how to correct it.
pub(super) struct InvalidValue {
    pub(super) message: String,
    pub(super) help: &'static str,
}

/// Converts a value, or returns why it is refused.
type Convert<T> = fn(&Value<'_>) -> Result<T, InvalidValue>;

/// A table of the document with the keys that were read from it. All other keys in the table are
/// unknown.
pub(super) struct Section<'t, 'i> {
    path: String,
    table: Option<&'t DeTable<'i>>,
    span: Range<usize>,
    known_keys: Vec<&'static str>,
}

impl<'t, 'i> Section<'t, 'i> {
    pub(super) fn root(table: &'t DeTable<'i>) -> Self {
        Self {
            path: String::new(),
            table: Some(table),
            span: 0..0,
            known_keys: Vec::new(),
        }
    }

    /// Creates a section for a table that the document does not contain, so that defaults apply.
    pub(super) fn empty() -> Self {
        Self {
            path: String::new(),
            table: None,
            span: 0..0,
            known_keys: Vec::new(),
        }
    }

    /// Returns the path of the field `key` in this section.
    pub(super) fn field(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    fn get(&mut self, key: &'static str) -> Option<&'t Spanned<Value<'i>>> {
        self.known_keys.push(key);
        self.table?.get(key)
    }
}

/// Reads a document and collects its problems and the line of each field.
pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    line_starts: Vec<usize>,
    problems: Vec<Problem>,
    lines: BTreeMap<String, usize>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Self {
        let newlines = text.match_indices('\n').map(|(at, _)| at + 1);
        Self {
            file,
            text,
            line_starts: std::iter::once(0).chain(newlines).collect(),
            problems: Vec::new(),
            lines: BTreeMap::new(),
        }
    }

    /// Parses the text, or returns its syntax errors.
    pub(super) fn parse_document(&self) -> Result<Spanned<DeTable<'a>>, Vec<Problem>> {
        let (document, errors) = DeTable::parse_recoverable(self.text);
        if errors.is_empty() {
            return Ok(document);
        }
        let problems = errors.iter().take(MAX_SYNTAX_PROBLEMS).map(|e| Problem {
            file: self.file.to_owned(),
            line: Some(self.line_at(e.span().map_or(0, |span| span.start))),
            field: String::new(),
            message: e.message().to_owned(),
            help: "the file must be valid TOML".to_owned(),
        });
        Err(problems.collect())
    }

    pub(super) fn into_parts(self) -> (Vec<Problem>, BTreeMap<String, usize>) {
        (self.problems, self.lines)
    }

    /// Reads a required field. Returns `None` and reports a problem if it is missing or invalid.
    pub(super) fn read_required<T>(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        convert: Convert<T>,
    ) -> Option<T> {
        let Some(value) = section.get(key) else {
            let line = self.line_at(section.span.start);
            let field = section.field(key);
            self.report(line, &field, "is missing".to_owned(), "add it");
            return None;
        };
        self.convert(&section.field(key), value, convert)
    }

    /// Reads an optional field. Returns `None` if it is missing, or if it is invalid, which is
    /// reported.
    pub(super) fn read_optional<T>(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        convert: Convert<T>,
    ) -> Option<T> {
        let value = section.get(key)?;
        self.convert(&section.field(key), value, convert)
    }

    /// Reads an optional field and returns `default` if it is missing, or if it is invalid, which
    /// is reported.
    pub(super) fn read_or_default<T>(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        convert: Convert<T>,
        default: T,
    ) -> T {
        self.read_optional(section, key, convert).unwrap_or(default)
    }

    /// Reads an optional table.
    pub(super) fn read_table<'t, 'i>(
        &mut self,
        section: &mut Section<'t, 'i>,
        key: &'static str,
    ) -> Option<Section<'t, 'i>> {
        let value = section.get(key)?;
        self.open_section(section.field(key), value)
    }

    /// Reads an array of tables that each have a `name`, and reports the keys that `read` did not
    /// use.
    pub(super) fn read_items<T>(
        &mut self,
        section: &mut Section<'_, '_>,
        key: &'static str,
        read: fn(&mut Self, &mut Section<'_, '_>) -> Option<T>,
    ) -> Vec<(String, T)> {
        let Some(value) = section.get(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            let line = self.line_at(value.span().start);
            let message = format!("is {}", describe_type(value.get_ref()));
            self.report(
                line,
                key,
                message,
                "write a table in double brackets per entry",
            );
            return Vec::new();
        };
        let mut items = Vec::new();
        for (index, value) in array.iter().enumerate() {
            let path = format!("{key}[{index}]");
            let Some(mut item) = self.open_section(path, value) else {
                continue;
            };
            let name = self.read_required(&mut item, "name", Self::string);
            if let Some(name) = &name {
                self.set_section_path(&mut item, format!("{key}.{name}"));
            }
            let content = read(self, &mut item);
            self.report_unknown_keys(item);
            if let (Some(name), Some(content)) = (name, content) {
                items.push((name, content));
            }
        }
        items
    }

    /// Reports the keys of a section that were not read.
    pub(super) fn report_unknown_keys(&mut self, section: Section<'_, '_>) {
        for (key, _) in section.table.into_iter().flatten() {
            let name: &str = key.get_ref();
            if section.known_keys.contains(&name) {
                continue;
            }
            self.problems.push(Problem {
                file: self.file.to_owned(),
                line: Some(self.line_at(key.span().start)),
                field: section.field(name),
                message: "is not a known key".to_owned(),
                help: format!("known here: {}", section.known_keys.join(", ")),
            });
        }
    }

    /// Reports a problem with a field that was already read, at the line of that field.
    pub(super) fn report_field(&mut self, field: &str, message: String, help: &str) {
        let line = self.lines.get(field).copied().unwrap_or(1);
        self.report(line, field, message, help);
    }

    fn report(&mut self, line: usize, field: &str, message: String, help: &str) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line: Some(line),
            field: field.to_owned(),
            message,
            help: help.to_owned(),
        });
    }

    fn open_section<'t, 'i>(
        &mut self,
        path: String,
        value: &'t Spanned<Value<'i>>,
    ) -> Option<Section<'t, 'i>> {
        let span = value.span();
        self.record_line(&path, span.start);
        let Some(table) = value.get_ref().as_table() else {
            let line = self.line_at(span.start);
            let message = format!("is {}", describe_type(value.get_ref()));
            self.report(line, &path, message, "write a table");
            return None;
        };
        Some(Section {
            path,
            table: Some(table),
            span,
            known_keys: Vec::new(),
        })
    }

    fn convert<T>(
        &mut self,
        field: &str,
        value: &Spanned<Value<'_>>,
        convert: Convert<T>,
    ) -> Option<T> {
        let start = value.span().start;
        self.record_line(field, start);
        match convert(value.get_ref()) {
            Ok(converted) => Some(converted),
            Err(invalid) => {
                self.report(self.line_at(start), field, invalid.message, invalid.help);
                None
            }
        }
    }

    /// Replaces the path of a section, which contains its index, by one that contains its name.
    fn set_section_path(&mut self, section: &mut Section<'_, '_>, path: String) {
        let name_line = self.lines.get(&section.field("name")).copied();
        section.path = path;
        self.record_line(&section.path, section.span.start);
        if let Some(line) = name_line {
            self.lines.entry(section.field("name")).or_insert(line);
        }
    }

    /// Records the line of a field. If several entries have the same name, the first one is kept.
    fn record_line(&mut self, field: &str, offset: usize) {
        let line = self.line_at(offset);
        self.lines.entry(field.to_owned()).or_insert(line);
    }

    fn line_at(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|&start| start <= offset)
    }

    pub(super) fn string(value: &Value<'_>) -> Result<String, InvalidValue> {
        match value.as_str() {
            Some(text) => Ok(text.to_owned()),
            None => Err(type_mismatch(value, "write a text in double quotes")),
        }
    }

    pub(super) fn strings(value: &Value<'_>) -> Result<Vec<String>, InvalidValue> {
        const HELP: &str = "write a list of texts in square brackets";
        let array = value.as_array().ok_or_else(|| type_mismatch(value, HELP))?;
        array
            .iter()
            .map(|item| Self::string(item.get_ref()).map_err(|e| InvalidValue { help: HELP, ..e }))
            .collect()
    }

    pub(super) fn boolean(value: &Value<'_>) -> Result<bool, InvalidValue> {
        value
            .as_bool()
            .ok_or_else(|| type_mismatch(value, "write true or false"))
    }

    pub(super) fn integer(value: &Value<'_>) -> Result<u32, InvalidValue> {
        const HELP: &str = "write a whole number from 0 to 4294967295";
        let number = value
            .as_integer()
            .ok_or_else(|| type_mismatch(value, HELP))?;
        u32::from_str_radix(number.as_str(), number.radix()).map_err(|_| InvalidValue {
            message: format!("{number} is out of range"),
            help: HELP,
        })
    }

    pub(super) fn percent(value: &Value<'_>) -> Result<Share, InvalidValue> {
        const HELP: &str = "write a percentage from 0 to 100 with at most four decimals";
        let number: Cow<'_, str> = match value {
            DeValue::Integer(number) => number.to_string().into(),
            DeValue::Float(number) => number.as_str().into(),
            _ => return Err(type_mismatch(value, HELP)),
        };
        units::parse_percent(&number).ok_or_else(|| InvalidValue {
            message: format!("{number} is not a percentage"),
            help: HELP,
        })
    }

    pub(super) fn percents(value: &Value<'_>) -> Result<Vec<Share>, InvalidValue> {
        let array = value.as_array().ok_or_else(|| {
            type_mismatch(value, "write a list of percentages in square brackets")
        })?;
        array
            .iter()
            .map(|item| Self::percent(item.get_ref()))
            .collect()
    }

    pub(super) fn duration(value: &Value<'_>) -> Result<Millis, InvalidValue> {
        const HELP: &str = "write a number with a unit of ms, s, m, h or d, for example \"30s\"";
        let text = value.as_str().ok_or_else(|| type_mismatch(value, HELP))?;
        units::parse_duration(text).ok_or_else(|| InvalidValue {
            message: format!("{text:?} is not a duration"),
            help: HELP,
        })
    }

    pub(super) fn time(value: &Value<'_>) -> Result<Millis, InvalidValue> {
        const HELP: &str = "write a time with its offset, for example 2026-12-24T06:00:00+01:00";
        let text: Cow<'_, str> = match value {
            DeValue::Datetime(time) => time.to_string().into(),
            DeValue::String(text) => text.as_ref().into(),
            _ => return Err(type_mismatch(value, HELP)),
        };
        units::parse_time(&text).ok_or_else(|| InvalidValue {
            message: format!("{text} is not a point in time"),
            help: HELP,
        })
    }
}

fn type_mismatch(value: &Value<'_>, help: &'static str) -> InvalidValue {
    InvalidValue {
        message: format!("is {}", describe_type(value)),
        help,
    }
}

fn describe_type(value: &Value<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a decimal number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a time",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}
