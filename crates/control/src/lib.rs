//! State machines of membership, limit shares and orders to engines. Never does I/O.
