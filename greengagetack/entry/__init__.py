"""greengagetack.entry: HTTP towards callers, trainers and operators."""
