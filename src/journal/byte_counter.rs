/// a writer that only counts the bytes written to it.
#[derive(Debug, Default)]
pub struct ByteCounter {
    /// bytes written so far.
    pub count: u64,
}

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.count += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
