//! SHA-256, for the digests of pieces of weights.

const ROUND: [u32; 64] = [
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
    0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
    0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
    0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
    0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
    0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2,
];

const START: [u32; 8] = [
    0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab, 0x5be0cd19,
];

/// The digest of `bytes` in hexadecimal.
pub fn sha256(bytes: &[u8]) -> String {
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend((bytes.len() as u64 * 8).to_be_bytes());
    let mut state = START;
    for block in padded.chunks(64) {
        add_block(&mut state, block);
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}

fn add_block(state: &mut [u32; 8], block: &[u8]) {
    let mut words = [0_u32; 64];
    for (word, bytes) in words.iter_mut().zip(block.chunks(4)) {
        *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    }
    for index in 16..64 {
        let (before, last) = (words[index - 15], words[index - 2]);
        let first = before.rotate_right(7) ^ before.rotate_right(18) ^ (before >> 3);
        let second = last.rotate_right(17) ^ last.rotate_right(19) ^ (last >> 10);
        let sum = words[index - 16].wrapping_add(first).wrapping_add(words[index - 7]);
        words[index] = sum.wrapping_add(second);
    }
    let mut work = *state;
    for (constant, word) in ROUND.iter().zip(words) {
        let [a, b, c, d, e, f, g, h] = work;
        let mixed = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
        let chosen = (e & f) ^ (!e & g);
        let first = h.wrapping_add(mixed).wrapping_add(chosen);
        let first = first.wrapping_add(*constant).wrapping_add(word);
        let mixed = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
        let majority = (a & b) ^ (a & c) ^ (b & c);
        let second = mixed.wrapping_add(majority);
        work = [first.wrapping_add(second), a, b, c, d.wrapping_add(first), e, f, g];
    }
    for (word, added) in state.iter_mut().zip(work) {
        *word = word.wrapping_add(added);
    }
}
