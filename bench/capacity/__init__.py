"""bench.capacity: measures cost by size and predicts it for larger sizes."""
