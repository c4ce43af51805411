//! Decides who is served, who waits and who is refused. Never does I/O, never reads a clock.
