/// time over which the byte rate holds.
const WINDOW_MS: u64 = 1_000;
/// length of one cell of the window.
const CELL_MS: u64 = 20;
/// cells of the window; one more than its length, as the latest is never complete.
const CELLS: usize = (WINDOW_MS / CELL_MS) as usize + 1;

/// what a datagram is for; the later ones may use more of the byte rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// probes, news of others and comparisons.
    Common,
    /// what keeps a member from a false death: its own refutation, a suspect's chance to answer, departures.
    Defence,
    /// answers to probes.
    Answer,
}

/// what membership has sent within the last second; no second ever holds more than the byte rate.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: usize,
    cells: [usize; CELLS],
    /// number of the latest cell since the start of the clock.
    latest_cell: u64,
    window_bytes: usize,
}

impl ByteBudget {
    /// a window in which nothing was sent.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: usize::try_from(bytes_per_second).unwrap_or(usize::MAX),
            cells: [0; CELLS],
            latest_cell: 0,
            window_bytes: 0,
        }
    }

    /// lets the window end now.
    pub fn advance(&mut self, now_ms: u64) {
        let cell = now_ms / CELL_MS;
        let passed = cell.saturating_sub(self.latest_cell).min(CELLS as u64);
        self.latest_cell = self.latest_cell.max(cell);
        for back in 0..passed {
            let index = self.index(self.latest_cell - back);
            self.window_bytes -= std::mem::take(&mut self.cells[index]);
        }
    }

    /// bytes that may be sent now for a purpose.
    pub fn available_bytes(&self, purpose: Purpose) -> usize {
        let limit_bytes = match purpose {
            Purpose::Common => self.bytes_per_second / 4 * 3,
            Purpose::Defence => self.bytes_per_second / 8 * 7,
            Purpose::Answer => self.bytes_per_second,
        };
        limit_bytes.saturating_sub(self.window_bytes)
    }

    /// takes note of bytes sent.
    pub fn spend(&mut self, bytes: usize) {
        let index = self.index(self.latest_cell);
        self.cells[index] += bytes;
        self.window_bytes += bytes;
    }

    fn index(&self, cell: u64) -> usize {
        (cell % CELLS as u64) as usize
    }
}
