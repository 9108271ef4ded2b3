"""Parts of the soak benchmark."""
