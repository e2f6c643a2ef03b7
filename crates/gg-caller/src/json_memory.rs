//! Estimates the memory of JSON before it is parsed.

/// Memory of an object with one member, in bytes: a tree node has room for eleven.
const OBJECT_BYTES: usize = 768;

/// Memory of an array, in bytes: the first allocation has room for four values.
const ARRAY_BYTES: usize = 160;

/// Memory of one more value or member, in bytes, as arrays grow by half or more.
const VALUE_BYTES: usize = 128;

/// Memory of a string, in bytes, beside its content.
const STRING_BYTES: usize = 16;

/// Returns about how much memory the values of a JSON text take, in bytes; rather more
/// than less. Texts that are not valid JSON have some result.
pub(crate) fn parsed_bytes(text: impl IntoIterator<Item = u8>) -> usize {
    let mut bytes = 0;
    let mut rest = text.into_iter();
    while let Some(byte) = rest.next() {
        match byte {
            b'{' => bytes += OBJECT_BYTES,
            b'[' => bytes += ARRAY_BYTES,
            b',' => bytes += VALUE_BYTES,
            b'"' => {
                bytes += STRING_BYTES;
                while let Some(byte) = rest.next() {
                    match byte {
                        b'"' => break,
                        b'\\' => {
                            rest.next();
                            bytes += 1;
                        }
                        _ => bytes += 1,
                    }
                }
            }
            _ => {}
        }
    }
    bytes
}
