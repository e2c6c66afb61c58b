//! Pattern matching of `LIKE`.

/// Element of a pattern.
#[derive(PartialEq)]
enum Piece {
    /// `%`: any text, including the empty one.
    AnyText,
    /// `_`: exactly one character.
    AnyCharacter,
    /// A literal character.
    Character(char),
}

/// Position at which matching resumes after a mismatch: the last `%` then takes one character more.
#[derive(Clone, Copy)]
struct Backtrack {
    /// Index of the `%` among the elements.
    piece: usize,
    /// Index of the first character after those that the `%` takes.
    character: usize,
}

/// Returns whether a text matches a pattern, in which `%` is any text, `_` is one character, and a
/// backslash escapes the next character.
///
/// The match is greedy and backtracks to the last `%` only, so the number of steps is at most the
/// product of the two lengths.
pub(super) fn matches(text: &str, pattern: &str) -> bool {
    let pieces = parse(pattern);
    let text: Vec<char> = text.chars().collect();
    let mut character = 0;
    let mut piece = 0;
    let mut backtrack: Option<Backtrack> = None;
    while character < text.len() {
        match pieces.get(piece) {
            Some(Piece::AnyText) => {
                backtrack = Some(Backtrack { piece, character });
                piece += 1;
                continue;
            }
            Some(Piece::AnyCharacter) => {
                character += 1;
                piece += 1;
                continue;
            }
            Some(Piece::Character(expected)) if *expected == text[character] => {
                character += 1;
                piece += 1;
                continue;
            }
            _ => {}
        }
        let Some(last) = backtrack else { return false };
        character = last.character + 1;
        piece = last.piece + 1;
        backtrack = Some(Backtrack {
            piece: last.piece,
            character,
        });
    }
    pieces[piece..].iter().all(|piece| *piece == Piece::AnyText)
}

/// Parses a pattern into its elements.
fn parse(pattern: &str) -> Vec<Piece> {
    let mut pieces = Vec::new();
    let mut characters = pattern.chars();
    while let Some(character) = characters.next() {
        pieces.push(match character {
            '%' => Piece::AnyText,
            '_' => Piece::AnyCharacter,
            '\\' => Piece::Character(characters.next().unwrap_or('\\')),
            other => Piece::Character(other),
        });
    }
    pieces
}
