/// finds the line, counted from 1, on which the value at a JSON pointer starts.
pub fn line_of_pointer(text: &str, pointer: &str) -> Option<usize> {
    let mut scanner = Scanner { bytes: text.as_bytes(), at: 0 };
    for part in pointer.split('/').skip(1) {
        let part = part.replace("~1", "/").replace("~0", "~");
        scanner.skip_space();
        match scanner.peek()? {
            b'{' => scanner.enter_key(&part)?,
            b'[' => scanner.enter_index(part.parse().ok()?)?,
            _ => return None,
        }
    }
    scanner.skip_space();
    Some(1 + text.as_bytes()[..scanner.at].iter().filter(|byte| **byte == b'\n').count())
}

/// walks over JSON text that is known to be valid.
struct Scanner<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Scanner<'_> {
    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    /// moves from the opening brace to the value of `key`.
    fn enter_key(&mut self, key: &str) -> Option<()> {
        self.at += 1;
        loop {
            self.skip_space();
            if self.peek()? != b'"' {
                return None;
            }
            let start = self.at;
            self.skip_string()?;
            let name: String = serde_json::from_slice(&self.bytes[start..self.at]).ok()?;
            self.skip_space();
            self.at += 1;
            self.skip_space();
            if name == key {
                return Some(());
            }
            self.skip_value()?;
            self.skip_space();
            if self.peek()? != b',' {
                return None;
            }
            self.at += 1;
        }
    }

    /// moves from the opening bracket to the element at `index`.
    fn enter_index(&mut self, index: usize) -> Option<()> {
        self.at += 1;
        for _ in 0..index {
            self.skip_space();
            self.skip_value()?;
            self.skip_space();
            if self.peek()? != b',' {
                return None;
            }
            self.at += 1;
        }
        self.skip_space();
        (self.peek()? != b']').then_some(())
    }

    fn skip_string(&mut self) -> Option<()> {
        self.at += 1;
        loop {
            match self.peek()? {
                b'\\' => self.at += 2,
                b'"' => {
                    self.at += 1;
                    return Some(());
                }
                _ => self.at += 1,
            }
        }
    }

    fn skip_value(&mut self) -> Option<()> {
        let mut depth = 0_usize;
        loop {
            match self.peek()? {
                b'"' => self.skip_string()?,
                b'{' | b'[' => {
                    depth += 1;
                    self.at += 1;
                }
                b'}' | b']' if depth == 0 => return Some(()),
                b'}' | b']' => {
                    depth -= 1;
                    self.at += 1;
                }
                b',' if depth == 0 => return Some(()),
                _ => self.at += 1,
            }
            if depth == 0 && matches!(self.peek()?, b',' | b'}' | b']') {
                return Some(());
            }
        }
    }
}
