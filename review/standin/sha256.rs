//! SHA-256, since the stand-ins use the standard library alone.

/// First 32 bits of the fractional parts of the cube roots of the first 64 primes, and of the
/// square roots of the first 8.
fn constants() -> ([u32; 64], [u32; 8]) {
    let mut primes = Vec::new();
    let mut number = 2_u64;
    while primes.len() < 64 {
        if primes.iter().all(|prime| number % prime != 0) {
            primes.push(number);
        }
        number += 1;
    }
    let mut rounds = [0; 64];
    let mut state = [0; 8];
    for (index, prime) in primes.iter().enumerate() {
        rounds[index] = root(*prime, 3);
        if index < 8 {
            state[index] = root(*prime, 2);
        }
    }
    (rounds, state)
}

/// The first 32 bits after the point of the root of `prime` with the given degree.
fn root(prime: u64, degree: u32) -> u32 {
    let target = u128::from(prime) << (32 * degree);
    let (mut low, mut high) = (0_u128, 1_u128 << 40);
    while high - low > 1 {
        let middle = (low + high) / 2;
        if middle.pow(degree) <= target {
            low = middle;
        } else {
            high = middle;
        }
    }
    low as u32
}

/// The digest of `bytes` in hexadecimal.
pub fn hex_digest(bytes: &[u8]) -> String {
    let (rounds, mut state) = constants();
    let mut padded = bytes.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words = [0_u32; 64];
        for (index, word) in block.chunks(4).enumerate() {
            words[index] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for index in 16..64 {
            let early = words[index - 15];
            let late = words[index - 2];
            let first = early.rotate_right(7) ^ early.rotate_right(18) ^ (early >> 3);
            let second = late.rotate_right(17) ^ late.rotate_right(19) ^ (late >> 10);
            words[index] = words[index - 16]
                .wrapping_add(first)
                .wrapping_add(words[index - 7])
                .wrapping_add(second);
        }
        let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = state;
        for index in 0..64 {
            let sum = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
            let choice = (e & f) ^ (!e & g);
            let first = h
                .wrapping_add(sum)
                .wrapping_add(choice)
                .wrapping_add(rounds[index])
                .wrapping_add(words[index]);
            let sum = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
            let majority = (a & b) ^ (a & c) ^ (b & c);
            let second = sum.wrapping_add(majority);
            (h, g, f, e) = (g, f, e, d.wrapping_add(first));
            (d, c, b, a) = (c, b, a, first.wrapping_add(second));
        }
        for (word, value) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
            *word = word.wrapping_add(value);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}
