"""greengagetack.settings: typed settings under paths, with checks and history."""
