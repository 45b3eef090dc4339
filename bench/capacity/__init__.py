"""bench.capacity: slopes of cost over size, and predictions from them."""
