"""What the bytes mean: adapters to outside systems and typed peer messages."""
