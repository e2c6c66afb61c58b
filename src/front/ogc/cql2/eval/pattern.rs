//! Pattern matching for `LIKE`.

/// Element of a pattern.
#[derive(PartialEq)]
enum PatternElement {
    /// `%`: any number of characters, including none.
    AnyText,
    /// `_`: exactly one character.
    AnyCharacter,
    /// A literal character.
    Character(char),
}

/// Position to which matching returns after a mismatch, to match the last `%` with one more
/// character.
#[derive(Clone, Copy)]
struct Backtrack {
    /// Index of the `%` among the elements.
    element: usize,
    /// Index of the first character after those that the `%` matches.
    character: usize,
}

/// Returns whether a text matches a pattern, in which `%` matches any number of characters, `_`
/// matches one character, and a backslash escapes the next character.
///
/// Each `%` first matches no characters. After a mismatch only the last `%` is extended, so the
/// number of steps is at most the product of the two lengths.
pub(super) fn matches(text: &str, pattern: &str) -> bool {
    let elements = parse(pattern);
    let text: Vec<char> = text.chars().collect();
    let mut character = 0;
    let mut element = 0;
    let mut backtrack: Option<Backtrack> = None;
    while character < text.len() {
        match elements.get(element) {
            Some(PatternElement::AnyText) => {
                backtrack = Some(Backtrack { element, character });
                element += 1;
                continue;
            }
            Some(PatternElement::AnyCharacter) => {
                character += 1;
                element += 1;
                continue;
            }
            Some(PatternElement::Character(expected)) if *expected == text[character] => {
                character += 1;
                element += 1;
                continue;
            }
            _ => {}
        }
        let Some(last) = backtrack else { return false };
        character = last.character + 1;
        element = last.element + 1;
        backtrack = Some(Backtrack {
            element: last.element,
            character,
        });
    }
    elements[element..]
        .iter()
        .all(|element| *element == PatternElement::AnyText)
}

/// Parses a pattern into its elements.
fn parse(pattern: &str) -> Vec<PatternElement> {
    let mut elements = Vec::new();
    let mut characters = pattern.chars();
    while let Some(character) = characters.next() {
        elements.push(match character {
            '%' => PatternElement::AnyText,
            '_' => PatternElement::AnyCharacter,
            '\\' => PatternElement::Character(characters.next().unwrap_or('\\')),
            other => PatternElement::Character(other),
        });
    }
    elements
}
