"""greengagetack.settings: versioned, validated settings stored by path."""
