/// length of the sliding window over which the byte rate holds.
const WINDOW_MS: u64 = 1_000;
/// length of one cell, the unit in which the window moves.
const CELL_MS: u64 = 20;
/// number of cells; one more than the window has, as the latest is never complete.
const CELLS: usize = (WINDOW_MS / CELL_MS) as usize + 1;

/// priority of a datagram; the later ones may use a larger share of the byte rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priority {
    /// probes, gossip about other members and anti-entropy.
    Normal,
    /// what prevents a false death: own refutations and departures, probes of suspects, indirect probes.
    Liveness,
    /// acks, and a record that an ack asked for.
    Reply,
}

/// sliding-window rate limit: no period of one second sees more than the byte rate.
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_second: usize,
    cells: [usize; CELLS],
    /// number of the latest cell, counted from the start of the clock.
    latest_cell: u64,
    window_bytes: usize,
}

impl ByteBudget {
    /// starts with an empty window.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: usize::try_from(bytes_per_second).unwrap_or(usize::MAX),
            cells: [0; CELLS],
            latest_cell: 0,
            window_bytes: 0,
        }
    }

    /// moves the end of the window to `now_ms`.
    pub fn advance(&mut self, now_ms: u64) {
        let cell = now_ms / CELL_MS;
        let passed = cell.saturating_sub(self.latest_cell).min(CELLS as u64);
        self.latest_cell = self.latest_cell.max(cell);
        for back in 0..passed {
            let index = self.index(self.latest_cell - back);
            self.window_bytes -= std::mem::take(&mut self.cells[index]);
        }
    }

    /// bytes that may be sent now at a priority.
    pub fn available_bytes(&self, priority: Priority) -> usize {
        let limit_bytes = match priority {
            Priority::Normal => self.bytes_per_second / 4 * 3,
            Priority::Liveness => self.bytes_per_second / 8 * 7,
            Priority::Reply => self.bytes_per_second,
        };
        limit_bytes.saturating_sub(self.window_bytes)
    }

    /// counts bytes as sent.
    pub fn spend(&mut self, bytes: usize) {
        let index = self.index(self.latest_cell);
        self.cells[index] += bytes;
        self.window_bytes += bytes;
    }

    fn index(&self, cell: u64) -> usize {
        (cell % CELLS as u64) as usize
    }
}
