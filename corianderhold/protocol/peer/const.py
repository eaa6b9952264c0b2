"""Define the sizes of the frames of the peer protocol."""

LENGTH_BYTES = 4
FRAME_BYTES_MAX = 1024 * 1024
CHUNK_BYTES = 64 * 1024
INLINE_BODY_BYTES = 64 * 1024  # larger bodies are sent in chunks
NONCE_BYTES = 16
